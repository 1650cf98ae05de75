#include <mustardcourse/serving/retry_budgets.h>

namespace mustardcourse::serving {

namespace {

/** Fraction of the shared constant that is spent, so that the limit holds while hosts briefly
   disagree on the members. What requests earn needs no such margin: each host counts its own. */
constexpr double spendableFraction = 0.8;
/** Attempts that a host starts with. It may have spent its share before a restart, and hosts that
    start together don't know yet how many they are. */
constexpr double initialAttempts = 1;

} // namespace

retry_budgets::retry_budgets(shared_retry_limits sharedLimits)
    : m_sharedLimits(sharedLimits)
{ }

double retry_budgets::reserve() const
{
    return spendableFraction * m_sharedLimits.extraPerWindow / static_cast<double>(m_memberCount);
}

void retry_budgets::setMemberCount(std::size_t count)
{
    m_memberCount = count;
    for (auto &[service, budget] : m_budgets)
        budget.setReserve(reserve());
}

void retry_budgets::setLimits(const shared_retry_limits &sharedLimits)
{
    m_sharedLimits = sharedLimits;
    for (auto &[service, budget] : m_budgets)
        budget.setReserve(reserve());
}

limits::retry_budget &retry_budgets::of(const service_id &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    limits::retry_budget budget(m_sharedLimits.ratioPerRequest, reserve(), initialAttempts);
    return m_budgets.emplace(service, budget).first->second;
}

} // namespace mustardcourse::serving
