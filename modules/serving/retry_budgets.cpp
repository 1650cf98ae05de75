#include <mustardcourse/serving/retry_budgets.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

/** Part of the shared constant that is spent, so that a moment of differing views does not break
   the bound. What requests earn needs none kept back: each host counts its own. */
constexpr double spentPart = 0.8;
/** Part of the reserve that a host has at its start; a restarted host has spent some before. */
constexpr double initialPart = 0.25;
/** Attempts that it has at the least, so that a host with a small share can repeat one at all. */
constexpr double leastInitial = 1;

} // namespace

retry_budgets::retry_budgets(shared_retry_limits terms)
    : m_terms(terms)
{ }

double retry_budgets::reserve() const
{
    return spentPart * m_terms.extraPerWindow / static_cast<double>(m_memberCount);
}

void retry_budgets::setMemberCount(std::size_t count)
{
    m_memberCount = count;
    for (auto &[service, budget] : m_budgets)
        budget.setReserve(reserve());
}

void retry_budgets::setTerms(const shared_retry_limits &terms)
{
    m_terms = terms;
    for (auto &[service, budget] : m_budgets)
        budget.setReserve(reserve());
}

limits::retry_budget &retry_budgets::of(const service_id &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    const double initial = std::max(leastInitial, initialPart * reserve());
    limits::retry_budget budget(m_terms.ratioPerRequest, reserve(), initial);
    return m_budgets.emplace(service, budget).first->second;
}

} // namespace mustardcourse::serving
