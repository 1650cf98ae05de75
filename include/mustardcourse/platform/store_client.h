#pragma once

#include <mustardcourse/core/ids.h>
#include <mustardcourse/wire/http_connection.h>

#include <string>
#include <vector>

namespace mustardcourse::platform {

/** A key and its value in the store. Revision zero denotes an absent key. */
struct stored_value
{
    std::string key;
    std::string value;
    revision storeRevision;
};

/** How a read ended. */
enum class read_outcome { Answered, Unavailable };

/** The result of a read: the key's value, or revision zero if the key is absent. */
struct read_result
{
    read_outcome outcome = read_outcome::Unavailable;
    stored_value value;
};

/** How a compare-and-swap ended. */
enum class swap_outcome {
    Swapped,
    /** The key has another revision; the result holds its current value. */
    Conflict,
    /** The store cannot have received the request. */
    NotSent,
    /** No usable response arrived, so the write may or may not have taken effect. */
    Lost,
};

/** The result of a compare-and-swap. */
struct swap_result
{
    swap_outcome outcome = swap_outcome::NotSent;
    revision storeRevision;
    stored_value current;
};

/** The result of a watch or a list: the changes since a revision or the keys, and the revision
    from which to watch next. */
struct watch_result
{
    read_outcome outcome = read_outcome::Unavailable;
    std::vector<stored_value> changes;
    revision nextRevision;
};

/**
    A client of the platform's key-value service.

    Its promises are never rejected: outages of the store are expected and reported as results.
*/
class store_client
{
public:
    store_client(wire::event_loop &loop, endpoint store, duration timeout);

    /** Reads one key. */
    kj::Promise<read_result> read(const std::string &key);

    /** Reads all keys that begin with a prefix. */
    kj::Promise<watch_result> list(const std::string &prefix);

    /** Writes a key if it still has the expected revision; zero expects it to be absent. */
    kj::Promise<swap_result> compareAndSwap(std::string key, revision expected, std::string value);

    /** Waits for changes after a revision by a long poll, for at most the given duration. */
    kj::Promise<watch_result> watch(const std::string &prefix, revision after,
                                    duration maximumWait);

    /** Returns the number of calls made, including watches. */
    [[nodiscard]] std::uint64_t callCount() const noexcept { return m_callCount; }

private:
    kj::Promise<wire::exchange_result> send(wire::outgoing_request request);
    wire::http_connection &idleConnection();

    wire::event_loop &m_loop;
    endpoint m_store;
    duration m_timeout;
    std::uint64_t m_callCount = 0;
    std::vector<std::unique_ptr<wire::http_connection>> m_connections;
};

} // namespace mustardcourse::platform
