#include <mustardcourse/serving/retry_budgets.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

/** Fraction of the shared constant that is spent, so that the limit holds while hosts briefly
   disagree on the members. What requests earn needs no such margin: each host counts its own. */
constexpr double spendableFraction = 0.8;
/** Fraction of the reserve that a host starts with; a restarted host may have spent the rest. */
constexpr double initialFraction = 0.25;
/** Minimum number of attempts at the start, so that a host with a small share can retry at all. */
constexpr double minimumInitialAttempts = 1;
/** Maximum number of attempts at the start, as hosts that start together don't know yet how many
    they are. Hedges keep one back, so with fewer a host could not hedge its first request. */
constexpr double maximumInitialAttempts = 2;

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
    for (auto &[service, budget] : m_budgets) {
        budget.setFraction(sharedLimits.ratioPerRequest);
        budget.setReserve(reserve());
    }
}

limits::retry_budget &retry_budgets::of(const service_id &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    const double initial =
        std::clamp(initialFraction * reserve(), minimumInitialAttempts, maximumInitialAttempts);
    limits::retry_budget budget(m_sharedLimits.ratioPerRequest, reserve(), initial);
    return m_budgets.emplace(service, budget).first->second;
}

} // namespace mustardcourse::serving
