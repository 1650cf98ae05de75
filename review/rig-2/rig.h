#pragma once

// Stand-ins for the cases of the second review: a store of the platform, targets and callers, on
// loopback addresses, each connection with a thread of its own.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t nowMs()
{
    static const clock::time_point begin = clock::now();
    return std::chrono::duration_cast<milliseconds>(clock::now() - begin).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t count)
{
    std::this_thread::sleep_for(milliseconds(count));
}

/** Writes lines with the time since the start to a file. */
class recorder
{
public:
    explicit recorder(const std::string &file)
        : m_file(file)
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** A connected socket with what was read from it and not used yet. */
struct connection
{
    explicit connection(int socket)
        : descriptor(socket)
    { }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    ~connection() { close(); }

    void close()
    {
        if (descriptor >= 0)
            ::close(descriptor);
        descriptor = -1;
    }

    /** Closes with a reset. */
    void reset()
    {
        const linger immediately{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        close();
    }

    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** Reads more bytes. Returns the count, 0 at the end, -1 after a reset, -2 after a time-out. */
    int read(int timeoutMs)
    {
        pollfd readable{descriptor, POLLIN, 0};
        if (::poll(&readable, 1, timeoutMs) <= 0)
            return -2;
        char bytes[65536];
        const ssize_t count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count > 0)
            unused.append(bytes, static_cast<std::size_t>(count));
        return static_cast<int>(count);
    }

    int descriptor;
    std::string unused;
};

/** Connects to a port; returns nothing if that fails. */
inline std::unique_ptr<connection> dial(std::uint16_t port, int receiveBuffer = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    auto result = std::make_unique<connection>(descriptor);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        return nullptr;
    return result;
}

/** An HTTP message that was read. */
struct message
{
    std::string firstLine;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (; index > 0; --index)
            begin = firstLine.find(' ', begin) + 1;
        return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/** Reads a message whose body has a length. Returns nothing if the connection ends before. */
inline std::optional<message> readMessage(connection &from, int timeoutMs, int *end = nullptr)
{
    const std::int64_t until = nowMs() + timeoutMs;
    const auto more = [&] {
        const int count = from.read(static_cast<int>(std::max<std::int64_t>(until - nowMs(), 0)));
        if (end != nullptr)
            *end = count;
        return count > 0;
    };
    std::size_t headEnd = 0;
    while ((headEnd = from.unused.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return std::nullopt;
    }
    message result;
    const std::string head = from.unused.substr(0, headEnd + 2);
    std::size_t begin = head.find("\r\n");
    result.firstLine = head.substr(0, begin);
    begin += 2;
    while (begin < head.size()) {
        const std::size_t lineEnd = head.find("\r\n", begin);
        const std::string line = head.substr(begin, lineEnd - begin);
        begin = lineEnd + 2;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char &character : name)
            character = static_cast<char>(std::tolower(character));
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        result.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    from.unused.erase(0, headEnd + 4);
    const std::size_t length = std::strtoull(result.field("content-length").c_str(), nullptr, 10);
    while (from.unused.size() < length) {
        if (!more())
            return std::nullopt;
    }
    result.body = from.unused.substr(0, length);
    from.unused.erase(0, length);
    return result;
}

/** Accepts connections, each with a thread of its own. */
class server
{
public:
    using handler = std::function<void(connection &)>;

    /** Listens on a port, or on any free one if it is zero. */
    explicit server(std::uint16_t port, handler serve)
        : m_serve(std::move(serve))
    {
        m_listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = loopback(port);
        if (::bind(m_listening, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_listening, 256) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof(address);
        getsockname(m_listening, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }

    std::uint16_t port() const { return m_port; }

    /** Stops listening, so that connection attempts are refused. */
    void stopListening()
    {
        m_isClosed = true;
        ::shutdown(m_listening, SHUT_RDWR);
        ::close(m_listening);
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int descriptor = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0 && m_isClosed)
                return;
            if (descriptor < 0)
                continue;
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, descriptor] {
                connection accepted(descriptor);
                m_serve(accepted);
            }).detach();
        }
    }

    handler m_serve;
    std::atomic<bool> m_isClosed{false};
    int m_listening = -1;
    std::uint16_t m_port = 0;
};

inline std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            encoded += i + k <= text.size() && (k < 2 || i + k - 1 < text.size())
                ? digits[bits >> (18 - 6 * k) & 63]
                : '=';
    }
    return encoded;
}

/** The platform's store, as PROTOCOL.md describes it; values are kept as base64 text. */
class store
{
public:
    explicit store(std::uint16_t port = 0)
        : m_server(port, [this](connection &caller) { serve(caller); })
    {
        std::thread([this] {
            for (;;) {
                sleepMs(50);
                expireLeases();
            }
        }).detach();
    }

    std::uint16_t port() const { return m_server.port(); }

    /** Writes an item of the operator or a target. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, base64(value), 0);
        m_changed.notify_all();
    }

    void erase(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        remove(key);
        m_changed.notify_all();
    }

    std::uint64_t revision()
    {
        const std::lock_guard lock(m_mutex);
        return m_revision;
    }

    /** What the store does with a call: it answers, answers 503, or takes it and says nothing. */
    enum class mode { serving, refusing, silent };

    /** Called for each call, if set. */
    std::function<mode(const message &)> onCall;

    /** Closes the connections of the watches that wait, without an answer. Returns their number. */
    std::size_t cutWatches()
    {
        const std::lock_guard lock(m_mutex);
        ++m_cuts;
        m_changed.notify_all();
        return m_waiting;
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::string key;
        std::uint64_t revision;
        bool deleted;
        std::string value;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        item &entry = m_items[key];
        entry.value = value;
        entry.revision = ++m_revision;
        entry.created = entry.created == 0 ? entry.revision : entry.created;
        entry.lease = lease;
        m_events.push_back({key, m_revision, false, value});
    }

    void remove(const std::string &key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({key, ++m_revision, true, ""});
    }

    void expireLeases()
    {
        const std::lock_guard lock(m_mutex);
        for (auto entry = m_leases.begin(); entry != m_leases.end();) {
            if (entry->second.second > nowMs()) {
                ++entry;
                continue;
            }
            endLease(entry->first);
            entry = m_leases.erase(entry);
        }
    }

    void endLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto &[key, entry] : m_items) {
            if (entry.lease == lease)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            remove(key);
        m_changed.notify_all();
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t query = target.find('?');
        std::size_t begin = query;
        while (begin != std::string::npos) {
            ++begin;
            if (target.compare(begin, name.size() + 1, name + "=") == 0) {
                const std::size_t value = begin + name.size() + 1;
                return unescape(target.substr(value, target.find('&', value) - value));
            }
            begin = target.find('&', begin);
        }
        return "";
    }

    static std::string unescape(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                plain += text[i];
                continue;
            }
            plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        return plain;
    }

    void serve(connection &caller)
    {
        for (;;) {
            const auto call = readMessage(caller, 60'000);
            if (!call)
                return;
            const mode how = onCall ? onCall(*call) : mode::serving;
            if (how == mode::silent) {
                while (caller.read(60'000) > 0) { }
                return;
            }
            const auto [status, body] =
                how == mode::refusing ? std::pair<int, json>{503, json::object()} : answer(*call);
            if (status == cutStatus)
                return;
            const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
            if (!caller.write("HTTP/1.1 " + std::to_string(status)
                              + " Answer\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
                                "Content-Length: "
                              + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    json describe(const std::string &key, const item &entry) const
    {
        return {{"Key", key},
                {"Value", entry.value},
                {"Revision", entry.revision},
                {"CreateRev", entry.created},
                {"Lease", entry.lease}};
    }

    std::pair<int, json> answer(const message &call)
    {
        std::unique_lock lock(m_mutex);
        const std::string method = call.word(0);
        const std::string target = call.word(1);
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/kv-range") {
            const std::string prefix = parameter(target, "PathPrefix");
            const std::string after = parameter(target, "after");
            json items = json::array();
            bool hasMore = false;
            for (const auto &[key, entry] : m_items) {
                if (key.compare(0, prefix.size(), prefix) != 0 || key <= after)
                    continue;
                if (items.size() >= 500) {
                    hasMore = true;
                    break;
                }
                items.push_back(describe(key, entry));
            }
            return {200, {{"items", items}, {"MorePages", hasMore}, {"CurrentRev", m_revision}}};
        }
        if (path == "/kv-watch") {
            const std::string prefix = parameter(target, "PathPrefix");
            const std::uint64_t after =
                std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            const milliseconds wait(std::atoi(parameter(target, "WaitMs").c_str()));
            json events = json::array();
            const auto collect = [&] {
                for (const event &entry : m_events) {
                    if (entry.revision <= after || entry.key.compare(0, prefix.size(), prefix) != 0)
                        continue;
                    json described = {{"Key", entry.key}, {"Revision", entry.revision}};
                    if (entry.deleted)
                        described["Deleted"] = true;
                    else
                        described["Value"] = entry.value;
                    events.push_back(described);
                }
                return !events.empty();
            };
            const std::uint64_t cuts = m_cuts;
            ++m_waiting;
            m_changed.wait_for(lock, wait, [&] { return m_cuts != cuts || collect(); });
            --m_waiting;
            if (m_cuts != cuts)
                return {cutStatus, json::object()};
            return {200, {{"events", events}, {"CurrentRev", m_revision}}};
        }
        if (path == "/kv-lease") {
            const std::uint64_t lease = ++m_lastLease;
            const std::int64_t ttl = json::parse(call.body).at("TtlMs").get<std::int64_t>();
            m_leases[lease] = {ttl, nowMs() + ttl};
            return {200, {{"Lease", lease}, {"TtlMs", ttl}}};
        }
        if (path.rfind("/kv-keep/", 0) == 0 || path.rfind("/kv-lease-end/", 0) == 0) {
            const std::uint64_t lease =
                std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
            const auto found = m_leases.find(lease);
            if (found == m_leases.end())
                return {404, json::object()};
            found->second.second = nowMs() + found->second.first;
            if (method == "DELETE") {
                m_leases.erase(found);
                endLease(lease);
            }
            return {200, json::object()};
        }
        if (path == "/kv-txn")
            return transact(json::parse(call.body));
        return {404, json::object()};
    }

    std::pair<int, json> transact(const json &transaction)
    {
        json current = json::array();
        bool holds = true;
        for (const json &row : transaction.value("ExpectedRev", json::array())) {
            const std::string key = row.at("Key").get<std::string>();
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("Revision").get<std::uint64_t>();
            current.push_back(found == m_items.end() ? json{{"Key", key}, {"Revision", 0}}
                                                     : describe(key, found->second));
        }
        if (!holds)
            return {412, {{"items", current}}};
        for (const json &row : transaction.value("Writes", json::array())) {
            const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
            if (lease != 0 && m_leases.find(lease) == m_leases.end())
                return {404, json::object()};
        }
        for (const json &row : transaction.value("Writes", json::array()))
            write(row.at("Key").get<std::string>(), row.at("Value").get<std::string>(),
                  row.value("Lease", std::uint64_t{0}));
        for (const json &key : transaction.value("Deletes", json::array()))
            remove(key.get<std::string>());
        m_changed.notify_all();
        return {200, {{"Revision", m_revision}}};
    }

    static constexpr int cutStatus = -1;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_cuts = 0;
    std::size_t m_waiting = 0;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::map<std::uint64_t, std::pair<std::int64_t, std::int64_t>> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    server m_server;
};

/** A target that answers each request after its work, and records the arrivals. */
class target
{
public:
    struct arrival
    {
        std::int64_t at;
        std::string id;
    };

    target(std::string instance, std::int64_t workMs)
        : m_instance(std::move(instance))
        , m_workMs(workMs)
        , m_server(0, [this](connection &host) { serve(host); })
    { }

    std::uint16_t port() const { return m_server.port(); }
    const std::string &instance() const { return m_instance; }

    std::vector<arrival> arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    /** Ends: stops listening and closes all connections. */
    void exit()
    {
        const std::lock_guard lock(m_mutex);
        m_hasEnded = true;
        m_server.stopListening();
        for (const int descriptor : m_descriptors)
            ::shutdown(descriptor, SHUT_RDWR);
    }

    /** Bytes of the body of an answer. */
    std::size_t bodyBytes = 64;

private:
    void serve(connection &host)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_hasEnded)
                return host.reset();
            m_descriptors.insert(host.descriptor);
        }
        while (const auto request = readMessage(host, 60'000)) {
            const std::string id = request->field("x-attempt-id");
            const std::string head = "X-Attempt-Id: " + id + "\r\n";
            if (request->field("x-expected-instance") != m_instance) {
                host.write("HTTP/1.1 421 Other\r\n" + head + "Content-Length: 0\r\n\r\n");
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_arrivals.push_back({nowMs(), id});
            }
            sleepMs(m_workMs);
            if (!host.write("HTTP/1.1 200 OK\r\n" + head + "X-Server-Stamp: " + m_instance + "."
                            + id + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                            + std::string(bodyBytes, 'b')))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_descriptors.erase(host.descriptor);
    }

    std::string m_instance;
    std::int64_t m_workMs;
    std::mutex m_mutex;
    std::vector<arrival> m_arrivals;
    std::set<int> m_descriptors;
    bool m_hasEnded = false;
    server m_server;
};

/** A process of the system. */
class process
{
public:
    explicit process(std::vector<std::string> words, const std::string &log)
    {
        m_id = ::fork();
        if (m_id != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        std::vector<char *> arguments;
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    process(const process &) = delete;
    process &operator=(const process &) = delete;
    ~process()
    {
        signal(SIGKILL);
        wait();
    }

    void signal(int number)
    {
        if (m_id > 0)
            ::kill(m_id, number);
    }

    /** Waits for the end and returns the status of waitpid(). */
    int wait()
    {
        int status = 0;
        if (m_id > 0)
            ::waitpid(m_id, &status, 0);
        m_id = -1;
        return status;
    }

    bool hasEnded(int *status = nullptr)
    {
        int result = 0;
        if (m_id > 0 && ::waitpid(m_id, &result, WNOHANG) == 0)
            return false;
        if (m_id > 0 && status != nullptr)
            *status = result;
        m_id = -1;
        return true;
    }

private:
    pid_t m_id = -1;
};

/** Returns a port that is free now, below those that the kernel gives to outgoing connections. */
inline std::uint16_t freePort()
{
    static std::mt19937 random{std::random_device{}()};
    for (;;) {
        const auto port = static_cast<std::uint16_t>(15'000 + random() % 15'000);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree =
            ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (isFree)
            return port;
    }
}

/** The settings of a host, as the deploy file's template gives them on a small deployment. */
struct host_settings
{
    std::string id = "front-1";
    std::string zone = "zone-a";
    std::uint16_t caller = freePort();
    std::uint16_t readiness = freePort();
    std::uint16_t metrics = freePort();
    std::uint16_t relay = freePort();
    std::uint16_t store = 0;

    void write(const std::string &file) const
    {
        const auto address = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port) + "\n";
        };
        std::ofstream(file) << "[host]\nid = " << id << "\ndata_centre = " << zone
                            << "\ncores = 0.25\ncore_speed = 1\nmemory_mb = 260\n\n[listen]\n"
                            << "caller = " << address(caller)
                            << "readiness = " << address(readiness)
                            << "metrics = " << address(metrics) << "relay = " << address(relay)
                            << "\n[network]\nlink_mbit_per_s = 1000\n\n[store]\naddress = "
                            << address(store)
                            << "\n[retries]\nratio = 0.2\nextra = 54\n\n[times]\n"
                               "stop_grace = 6s\nother_data_centre_penalty = 15ms\n";
    }
};

/** Starts a host with the command of the deploy file. */
inline std::unique_ptr<process> startHost(const host_settings &settings, const std::string &folder)
{
    const std::string file = folder + "/" + settings.id + ".ini";
    settings.write(file);
    const char *program = std::getenv("MUSTARDD");
    return std::make_unique<process>(
        std::vector<std::string>{program == nullptr ? "target/mustardd" : program,
                                 "--settings=" + file},
        folder + "/" + settings.id + ".log");
}

/** Ends all processes of the system, and this one with a status. Threads may still be running. */
[[noreturn]] inline int finish(std::vector<std::unique_ptr<process>> &processes, int status)
{
    processes.clear();
    std::fflush(nullptr);
    ::_exit(status);
}

/** Waits until a host says that it is ready. */
inline bool awaitReady(const host_settings &settings, int timeoutMs = 15'000)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        const auto toHost = dial(settings.readiness);
        if (toHost
            && toHost->write("GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
            const auto answer = readMessage(*toHost, 1000);
            if (answer && answer->status() == 200)
                return true;
        }
        sleepMs(50);
    }
    return false;
}

/** Returns a route of a configuration. */
inline json route(const std::string &name, const std::string &type, const std::string &service)
{
    return {{"Name", name},      {"Host", "rig.example"},  {"PathPrefix", "/" + name + "/"},
            {"RouteType", type}, {"Service", service},     {"TimeoutMs", 15'000},
            {"Priority", 1},     {"TargetLatencyMs", 800}, {"MaxAttempts", 2}};
}

inline std::string configuration(std::uint64_t version, const json &routes,
                                 const std::vector<std::string> &services)
{
    json described = json::array();
    for (const std::string &name : services)
        described.push_back(
            {{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 43}, {"WarmupPerS", 0}});
    return json{{"ConfigVersion", version},
                {"Routes", routes},
                {"Services", described},
                {"Limits",
                 {{"MaxHeaderBytes", 16'384},
                  {"MaxBodyBytes", 262'144},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15'000}}}}
        .dump();
}

/** Returns the entry of a target. */
inline std::string registration(const std::string &service, std::uint16_t port,
                                const std::string &state, std::uint64_t sequence,
                                const std::string &zone = "zone-a")
{
    static const std::int64_t born = wallMs();
    return json{{"Service", service},  {"Address", "127.0.0.1:" + std::to_string(port)},
                {"Zone", zone},        {"ConfigVersion", "v1"},
                {"MaxConcurrency", 4}, {"State", state},
                {"WarmupLeftMs", 0},   {"Sequence", sequence},
                {"born", born}}
        .dump();
}

inline std::string request(const std::string &method, const std::string &target,
                           const std::string &id, int budgetMs, const std::string &body = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: rig.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Time-Budget-Ms: " + std::to_string(budgetMs)
        + (method == "POST" ? "\r\nContent-Length: " + std::to_string(body.size()) : "")
        + "\r\n\r\n" + body;
}

/** Returns whether the case is to be run with its disruption. */
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace rig
