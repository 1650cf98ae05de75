#pragma once

#include "entry.h"
#include "settings_service.h"

#include <mustardcourse/wire/http_server.h>

#include <nlohmann/json_fwd.hpp>

namespace mustardcourse::daemon {

/** Whether a host accepts new work, or the reason why it does not. */
enum class readiness { Ready, Stopping, DataCentreOut };

/**
    Handles the HTTP requests of callers, operators and the load balancer. docs/INTERFACE.md
    describes them.
*/
class caller_api
{
public:
    caller_api(const clock &clock, const logger &log, const settings::host_settings &host,
               metrics &metrics, entry &entry, home &home, const settings_view &view,
               settings_service &service, const membership::member_table &members,
               kj::TaskSet &tasks);

    /** Handles one request. @see wire::http_handler */
    kj::Promise<wire::http_response> handle(const wire::http_request &request);

    /** Makes the host report that it accepts no new work. */
    void beginStop() noexcept { m_isStopping = true; }

    /** Returns whether the host accepts new work. */
    [[nodiscard]] readiness state() const;

private:
    kj::Promise<wire::http_response> route(const wire::http_request &request);
    kj::Promise<wire::http_response> lookup(const wire::http_request &request);
    kj::Promise<wire::http_response> execute(const wire::http_request &request);
    kj::Promise<wire::http_response> team(const wire::http_request &request);
    kj::Promise<wire::http_response> change(const team_id &team, const wire::http_request &request);
    [[nodiscard]] wire::http_response ready() const;
    [[nodiscard]] wire::http_response members() const;
    [[nodiscard]] wire::http_response targets() const;
    [[nodiscard]] wire::http_response renderMetrics() const;

    const clock &m_clock;
    const logger &m_log;
    const settings::host_settings &m_host;
    metrics &m_metrics;
    entry &m_entry;
    home &m_home;
    const settings_view &m_view;
    settings_service &m_service;
    const membership::member_table &m_members;
    kj::TaskSet &m_tasks;
    bool m_isStopping = false;
};

} // namespace mustardcourse::daemon
