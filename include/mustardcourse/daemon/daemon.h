#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/settings/host_settings.h>
#include <mustardcourse/wire/event_loop.h>

#include <memory>

namespace mustardcourse::daemon {

/**
    One host of the tier: an entry for callers and a home for targets.

    Several may share one event loop; the tests run a small fleet in one process this way.

    @throws listen_error on construction, if an address is in use
*/
class daemon
{
public:
    daemon(wire::event_loop &loop, const clock &clock, const logger &log,
           settings::host_settings settings);
    ~daemon();
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;

    /**
        Stops gracefully: reports that it accepts no new work, notifies its peers, still accepts
        requests during the grace period, then finishes the requests in progress. Resolves to
        whether all of them finished within the timeout.
    */
    kj::Promise<bool> stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardcourse::daemon
