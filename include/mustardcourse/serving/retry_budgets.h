#pragma once

#include <mustardcourse/core/ids.h>
#include <mustardcourse/limits/retry_budget.h>

#include <map>

namespace mustardcourse::serving {

/** The limit on additional attempts that all hosts share, for each service. */
struct shared_retry_limits
{
    /** Additional attempts for each request of a service. */
    double ratioPerRequest = 0.1;
    /** Additional attempts beyond that ratio of all hosts together, in any time window. */
    double extraPerWindow = 0;
};

/**
    This host's share of the retry budget of each service.

    Hosts do not coordinate: each spends the ratio of its own requests and an even share of the
    constant, so that the sum stays within the limit as long as they agree on the members.
*/
class retry_budgets
{
public:
    explicit retry_budgets(shared_retry_limits sharedLimits);

    /** Sets how many hosts share the limit. Precondition: at least one. */
    void setMemberCount(std::size_t count);

    /** Sets the limits, for existing budgets too; those keep the attempts that they have saved up
       as far as the new reserve allows. */
    void setLimits(const shared_retry_limits &sharedLimits);

    /** Returns the budget of a service. */
    limits::retry_budget &of(const service_id &service);

private:
    [[nodiscard]] double reserve() const;

    shared_retry_limits m_sharedLimits;
    std::size_t m_memberCount = 1;
    std::map<service_id, limits::retry_budget> m_budgets;
};

} // namespace mustardcourse::serving
