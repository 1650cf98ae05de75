#pragma once

#include <mustardcourse/core/ids.h>
#include <mustardcourse/wire/http_connection.h>

#include <string>
#include <vector>

namespace mustardcourse::platform {

/** A value in the store. Revision zero stands for a key that is absent. */
struct stored_value
{
    std::string key;
    std::string value;
    revision storeRevision;
};

/** How a read ended. */
enum class read_outcome { Answered, Unavailable };

/** The result of a read: the key's value, or its absence by revision zero. */
struct read_result
{
    read_outcome outcome = read_outcome::Unavailable;
    stored_value value;
};

/** How a compare-and-swap ended. */
enum class swap_outcome {
    Swapped,
    /** Another value stands there, which the result holds. */
    Conflict,
    /** The store cannot have seen the request. */
    NotSent,
    /** The swap may or may not have taken effect. */
    Lost,
};

/** The result of a compare-and-swap. */
struct swap_result
{
    swap_outcome outcome = swap_outcome::NotSent;
    revision storeRevision;
    stored_value current;
};

/** The result of a watch: the changes since a revision, and the revision to go on from. */
struct watch_result
{
    read_outcome outcome = read_outcome::Unavailable;
    std::vector<stored_value> changes;
    revision nextRevision;
};

/**
    Speaks the protocol of the platform's key-value service.

    Its methods never reject: an outage is a value, since it is an ordinary event of the store's.
*/
class store_client
{
public:
    store_client(wire::event_loop &loop, endpoint store, duration timeout);

    /** Reads one key. */
    kj::Promise<read_result> read(const std::string &key);

    /** Reads every key that begins with a prefix. */
    kj::Promise<watch_result> list(const std::string &prefix);

    /** Writes a key if it still has the expected revision; zero expects it to be absent. */
    kj::Promise<swap_result> compareAndSwap(std::string key, revision expected, std::string value);

    /** Waits for changes after a revision, for as long as the store's long poll lasts. */
    kj::Promise<watch_result> watch(const std::string &prefix, revision after, duration wait);

    /** Returns the calls made since the start, watches among them. */
    [[nodiscard]] std::uint64_t callCount() const noexcept { return m_calls; }

private:
    kj::Promise<wire::exchange_result> call(wire::outgoing_request request);
    wire::http_connection &idleConnection();

    wire::event_loop &m_loop;
    endpoint m_store;
    duration m_timeout;
    std::uint64_t m_calls = 0;
    std::vector<std::unique_ptr<wire::http_connection>> m_connections;
};

} // namespace mustardcourse::platform
