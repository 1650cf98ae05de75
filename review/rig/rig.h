#pragma once

// Stand-ins for the platform's store, searchers and requesters, and a starter of hosts. All of them
// use blocking sockets on loopback addresses and one thread a connection.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace rig {

using namespace std::chrono_literals;
using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
enum exit_code { Held = 0, Broken = 1, CannotRun = 2 };

/** The case cannot run, for example as a host does not start. */
class cannot_run : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct header_field
{
    std::string name;
    std::string value;
};

struct message
{
    /** The request line or status line. */
    std::string startLine;
    std::vector<header_field> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
    /** Returns the method of a request. */
    [[nodiscard]] std::string method() const;
    /** Returns the path and query of a request. */
    [[nodiscard]] std::string target() const;
    /** Returns the status of a response; zero if the line cannot be read. */
    [[nodiscard]] int status() const;
};

/** A blocking connection that reads HTTP/1.1 messages. */
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    { }
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /** Connects to a port of 127.0.0.1. @returns null if that fails */
    static std::unique_ptr<connection> dial(std::uint16_t port);

    /** Reads a message. @returns nothing at the end of the stream or after the timeout */
    std::optional<message> read(milliseconds timeout = 30s, bool isResponse = false);
    /** Reads whatever arrives until the end of the stream or the timeout. */
    std::string readToEnd(milliseconds timeout);
    bool write(std::string_view bytes);
    /** Returns whether the peer has closed or reset the connection, waiting for at most a time. */
    bool isClosedWithin(milliseconds time);
    /** Closes the sending side. */
    void finish();
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

private:
    /** Reads more bytes into the buffer. */
    bool fill(steady::time_point until);

    int m_descriptor;
    std::string m_buffer;
};

/** Accepts connections and runs a handler for each of them on a thread of its own. */
class server
{
public:
    using handler = std::function<void(connection &)>;

    /** @param port  zero for any free port */
    explicit server(handler onConnection, std::uint16_t port = 0);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
    /** Closes the port and all connections, without waiting for their handlers. */
    void stop();

private:
    void acceptAll();

    handler m_handler;
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::list<std::thread> m_threads;
};

/** The platform's store. */
class store
{
public:
    store();

    [[nodiscard]] std::uint16_t port() const noexcept { return m_server->port(); }
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void erase(const std::string &key);

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        milliseconds lifetime{0};
        steady::time_point end;
    };

    void serve(connection &peer);
    std::string answer(const message &request);
    std::string range(const std::string &target);
    std::string watch(const std::string &target);
    std::string transact(const std::string &body);
    void putLocked(const std::string &key, const std::string &value, std::uint64_t lease);
    void eraseLocked(const std::string &key);
    void endLeases();
    static json encode(const std::string &key, const item &entry);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<std::pair<std::uint64_t, json>> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_revision = 10;
    std::unique_ptr<server> m_server;
};

/** Collects lines for record.txt in the order of events. */
class record
{
public:
    explicit record(std::string file)
        : m_file(std::move(file))
        , m_begin(steady::now())
    { }
    ~record();
    void add(const std::string &line);

private:
    std::string m_file;
    steady::time_point m_begin;
    std::mutex m_mutex;
    std::string m_text;
};

/** A searcher. A case defines how it answers; by default it answers well. */
class searcher
{
public:
    struct description
    {
        std::string instance;
        std::string service;
        std::string zone;
        std::size_t slots = 4;
    };
    /** Answers a request; returns false to close the connection. */
    using responder = std::function<bool(connection &, const message &)>;

    searcher(description about, record &log);

    void setResponder(responder onRequest);
    /** Writes its entry into the store. */
    void registerIn(store &keeper) const;
    /** Ends it as a crash does: its port and all of its connections are closed at once. */
    void crash() { m_server->stop(); }
    /** Returns a whole and sound answer. */
    [[nodiscard]] std::string goodAnswer(const message &request, const std::string &body) const;
    /** Records that a request runs. */
    void recordRun(const message &request);
    /** Returns how often each request has run here. */
    [[nodiscard]] std::map<std::string, int> runs();
    [[nodiscard]] const description &about() const noexcept { return m_about; }

private:
    void serve(connection &peer);

    description m_about;
    record &m_log;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    responder m_responder;
    std::unique_ptr<server> m_server;
};

/** One host of the system, as the deploy file starts it. */
class host
{
public:
    struct options
    {
        std::string program;
        std::string name;
        std::string zone;
        std::uint16_t storePort = 0;
        /** Where its output goes; a file in its folder if negative. */
        int output = -1;
    };

    explicit host(const options &about);
    ~host();
    host(const host &) = delete;
    host &operator=(const host &) = delete;

    [[nodiscard]] std::uint16_t callerPort() const noexcept { return m_callerPort; }
    [[nodiscard]] std::uint16_t readinessPort() const noexcept { return m_readinessPort; }
    [[nodiscard]] pid_t process() const noexcept { return m_process; }
    /** Waits until the host is ready. @throws cannot_run */
    void awaitReady();
    /** Returns whether it is ready. */
    [[nodiscard]] bool isReady() const;
    /** Returns whether the process still runs. */
    [[nodiscard]] bool isRunning();

private:
    std::string m_folder;
    pid_t m_process = -1;
    bool m_hasEnded = false;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_readinessPort = 0;
};

/** Returns the text of a request of a requester. */
std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        milliseconds budget, const std::string &body = "");

/** Returns a route of a configuration for the host name "search.example". */
json makeRoute(const std::string &name, const std::string &type, const std::string &service);
json makeService(const std::string &name, int connections);
std::string makeConfiguration(std::uint64_t version, const json &routes, const json &services);

/** Returns whether the disruption is part of this run. */
bool hasTrouble();

/** Runs a case: its arguments are the daemon and the file for the record. */
int run(int argc, char **argv, int (*play)(const std::string &program, record &log));

} // namespace rig
