#pragma once

#include <mustardcourse/core/ids.h>
#include <mustardcourse/limits/retry_budget.h>

#include <map>

namespace mustardcourse::serving {

/** The bound on further attempts that all hosts share, for each service. */
struct shared_retry_limits
{
    /** Further attempts for each request of a service. */
    double ratioPerRequest = 0.1;
    /** Further attempts besides, within the window, for all hosts together. */
    double extraPerWindow = 0;
};

/**
    This host's part of the retry budget of each service.

    Hosts do not talk about it: each spends the ratio of its own requests and an even share of the
    constant, so that the sum stays within the bound while their views of the members agree.
*/
class retry_budgets
{
public:
    explicit retry_budgets(shared_retry_limits terms);

    /** Sets how many hosts share the bound. Precondition: at least one. */
    void setMemberCount(std::size_t count);

    /** Sets the terms; what has been saved up stays. */
    void setTerms(const shared_retry_limits &terms);

    /** Returns the budget of a service. */
    limits::retry_budget &of(const service_id &service);

private:
    [[nodiscard]] double reserve() const;

    shared_retry_limits m_terms;
    std::size_t m_memberCount = 1;
    std::map<service_id, limits::retry_budget> m_budgets;
};

} // namespace mustardcourse::serving
