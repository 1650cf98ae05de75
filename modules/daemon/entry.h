#pragma once

#include "home.h"
#include "peers.h"

#include <mustardcourse/limits/retry_budget.h>
#include <mustardcourse/membership/member_table.h>
#include <mustardcourse/registers/coverage.h>
#include <mustardcourse/registers/version_directory.h>
#include <mustardcourse/requests/merge.h>
#include <mustardcourse/settings/host_settings.h>

#include <map>

namespace mustardcourse::daemon {

/** A lookup request from a caller. */
struct lookup_request
{
    request_id id;
    service_id service;
    std::string query;
    limits::customer_class importance = limits::customer_class::Normal;
    std::optional<duration> deadline;
    std::optional<std::size_t> hitLimit;
};

/** How a lookup ended. */
enum class lookup_outcome { Answered, UnknownService, NoSnapshot, Overloaded };

/** Returns the name of an outcome, as used in responses to callers. */
std::string_view nameOf(lookup_outcome outcome);

/** A shard that is missing from an answer, with its last failure. */
struct missing_shard
{
    shard_index shard;
    requests::shard_failure reason = requests::shard_failure::NotServed;
};

/** The answer to a lookup. All hits come from the snapshot that it states. */
struct lookup_answer
{
    lookup_outcome outcome = lookup_outcome::Answered;
    revision mapRevision;
    index_version version;
    std::size_t answeredCount = 0;
    std::size_t expectedCount = 0;
    std::vector<missing_shard> missingShards;
    std::vector<requests::hit> hits;
    std::uint32_t targetCalls = 0;
    std::chrono::milliseconds retryAfter{};
};

/** A non-idempotent request from a caller. */
struct execute_request
{
    request_id id;
    service_id service;
    std::string key;
    std::string body;
    limits::customer_class importance = limits::customer_class::Normal;
    std::optional<duration> deadline;
    std::chrono::milliseconds issuedAt{};
};

/**
    Accepts the requests of callers, splits them by shard, passes them to the homes of the targets
    and merges the replies. @see home
*/
class entry final : private kj::TaskSet::ErrorHandler
{
public:
    entry(wire::event_loop &loop, const clock &clock, const settings::host_settings &host,
          metrics &metrics, const settings_view &settings, const membership::member_table &members,
          home &ownHome, peers &peers);

    /** Answers a lookup, at the latest at its deadline. It never rejects. */
    kj::Promise<lookup_answer> lookup(lookup_request request);

    /** Runs a non-idempotent request at most once. It never rejects. */
    kj::Promise<requests::execute_reply> execute(execute_request request);

    /** Removes unused version records; to be called about once a second. */
    void runMaintenance();

    /** Returns the number of requests in progress. */
    [[nodiscard]] std::size_t runningCount() const noexcept { return m_running; }

private:
    friend class lookup_task;
    class running_request;

    void taskFailed(kj::Exception &&exception) override;
    kj::Promise<lookup_answer> run(lookup_request request, registers::shard_map_pointer map,
                                   std::size_t hitLimit, time_point deadline);
    kj::Promise<void> fetchVersions(const registers::shard_map_pointer &map);
    void fetchVersionsInBackground(const registers::shard_map_pointer &map);
    kj::Promise<requests::execute_reply> dispatch(requests::execute_call call);
    [[nodiscard]] std::optional<membership::member_record>
    homeOf(const registers::replica &target,
           const std::vector<membership::member_record> &serving) const;
    kj::Promise<std::optional<requests::lookup_reply>>
    sendLookup(const membership::member_record &home, const requests::lookup_call &call);
    [[nodiscard]] duration deadlineOf(const std::optional<duration> &requested,
                                      duration fallback) const;
    [[nodiscard]] std::set<registers::target_id> leavingTargets() const;
    void recordLeaving(const registers::target_id &target);

    wire::event_loop &m_loop;
    const clock &m_clock;
    const settings::host_settings &m_host;
    metrics &m_metrics;
    const settings_view &m_settings;
    const membership::member_table &m_members;
    home &m_home;
    peers &m_peers;
    registers::version_directory m_directory;
    limits::retry_budget m_retries;
    std::map<registers::target_id, time_point> m_leavingReportedAt;
    std::size_t m_running = 0;
    std::set<service_id> m_fetchingVersions;
    kj::TaskSet m_background;
};

} // namespace mustardcourse::daemon
