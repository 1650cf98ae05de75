#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/serving/gathering_plan.h>
#include <mustardcourse/serving/part_messages.h>
#include <mustardcourse/serving/serving_metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace mustardcourse::serving {

enum class part_end {
    /** A gatherer has answered, and has not declined. */
    Answered,
    /** No gatherer takes it. */
    Untaken,
    /** The gatherer ended or was cut off while it gathered the part. */
    Lost,
};

/** How the sending of a part ended. */
struct part_result
{
    part_end end = part_end::Lost;
    part_answer answer;
    /** Whether a gatherer that did not answer may have sent it to targets. */
    bool mayHaveRun = false;
};

/**
    Sends parts of lookups to the hosts that gather them.

    A gatherer acknowledges a part before it sends it to any target. One that doesn't in time may be
    frozen or cut off: the part then goes to the next host, with one target less for each shard, and
    the silent host gets no further part for a while. It declines a part that it reads too late, so
    that only a lost acknowledgement makes both hosts gather it.
*/
class part_dispatcher
{
public:
    using result_handler = std::function<void(part_result &&)>;

    /** @param memory  limits the memory of the answers that are being read */
    part_dispatcher(net::loop &loop, const clock &clock, const logger &log,
                    serving_metrics &metrics, http::receive_memory &memory, host_id ownHost);
    ~part_dispatcher();

    /**
        Sends a part to the first of some hosts that takes it. This host itself ends the list, as
        it then gathers the part without a message.

        @param handler  called once, never from within this call, unless the part is cancelled
        @returns nothing if there is no host to send it to
    */
    std::optional<part_number> send(const std::vector<gatherer> &hosts, part_request request,
                                    result_handler handler);

    /** Cancels a part, at its gatherer too. Does nothing if it has ended. */
    void cancel(part_number number);

    /** Closes the connections to hosts that are not among the members. */
    void retainOnly(const gathering_plan &plan);

    [[nodiscard]] std::size_t runningCount() const noexcept { return m_parts.size(); }

private:
    struct running_part;
    struct peer;

    /** Sends a part to the next of its hosts. @returns false if there is none */
    bool sendToNext(running_part &part);
    /** Sends a part on after its host has failed to take it, or ends it. */
    void sendOn(running_part &part);
    void onAcknowledged(part_number number);
    void onNotAcknowledged(part_number number);
    void onExchangeEnd(part_number number, http::exchange_result &&result);
    void onResponse(running_part &part, const http::response &response);
    /** Handles that a gatherer may have begun a part without acknowledging it. */
    void repeatElsewhere(running_part &part);
    void avoid(const gatherer &host, duration time);
    void logFailure(const running_part &part, std::string_view reason) const;
    void finish(running_part &part, part_result &&result);
    [[nodiscard]] peer &peerOf(const gatherer &host);

    net::loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    serving_metrics &m_metrics;
    http::receive_memory &m_memory;
    host_id m_ownHost;
    std::map<endpoint, std::unique_ptr<peer>> m_peers;
    std::map<part_number, std::unique_ptr<running_part>> m_parts;
    std::uint64_t m_lastNumber = 0;
};

} // namespace mustardcourse::serving
