#pragma once

#include <string>
#include <vector>

namespace mustardcourse::tests {

/** Some bytes, and others that follow them without end in one part of a response. */
struct endless_response
{
    std::string name;
    std::string begin;
    std::string repeated;
};

/** Returns a response without end for each part of a message. */
inline std::vector<endless_response> endlessResponses()
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"bytes that are no response", "", "x"},
        {"line ends before a response", "", "\r\n"},
        {"a reason", "HTTP/1.1 200 ", "x"},
        {"the name of a field", "HTTP/1.1 200 OK\r\n", "x"},
        {"the value of a field", "HTTP/1.1 200 OK\r\nA: ", "x"},
        {"spaces before a value", "HTTP/1.1 200 OK\r\nA:", " "},
        {"the lines of a folded value", "HTTP/1.1 200 OK\r\nA: x", "\r\n x"},
        {"empty fields", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
        {"a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
        {"a body until the end", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"the length of a chunk", chunked, "0"},
        {"a length of a chunk that is too large", chunked, "f"},
        {"an extension of a chunk", chunked + "1;", "x"},
        {"extensions of many chunks", chunked, "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nz\r\n"},
        {"small chunks", chunked, "1\r\nx\r\n"},
        {"a large chunk", chunked + "7fffffff\r\n", "x"},
        {"the name of a trailer", chunked + "0\r\n", "x"},
        {"the value of a trailer", chunked + "0\r\nA: ", "x"},
        {"empty trailers", chunked + "0\r\n", "a:\r\n"},
        {"interim responses", "", "HTTP/1.1 103 Early\r\nA: x\r\n\r\n"},
    };
}

} // namespace mustardcourse::tests
