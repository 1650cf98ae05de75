#pragma once

#include <mustardcourse/http/message.h>

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::tests {

/** The bytes of a response, and what is special in it. */
struct raw_response
{
    std::string name;
    std::string bytes;
};

/** The fields and the body that all responses of a table have. */
struct response_content
{
    /** Header fields, each with its line end. */
    std::string fields;
    std::string body = "ab";

    /** Returns the fields with the length of the body, and the body. */
    [[nodiscard]] std::string withLength() const
    {
        std::string text = fields;
        http::appendHeader(text, "Content-Length", std::to_string(body.size()));
        return text.append("\r\n").append(body);
    }
};

/** Returns responses whose status line is not one of HTTP/1, which must be rejected. */
inline std::vector<raw_response> responsesWithInvalidStatusLine(const response_content &content)
{
    using namespace std::string_literals;
    const std::string lines[] = {
        "HTTP/1.1 000 Broken"s,
        "HTTP/1.1 001 Broken"s,
        "HTTP/1.1 099 Broken"s,
        "HTTP/1.1 600 Broken"s,
        "HTTP/1.1 999 Broken"s,
        "HTTP/1.1 2 OK"s,
        "HTTP/1.1 20 OK"s,
        "HTTP/1.1 0200 OK"s,
        "HTTP/1.1 2000 OK"s,
        "HTTP/1.1  200 OK"s,
        "HTTP/1.1\t200 OK"s,
        "HTTP/1.1 20x OK"s,
        "HTTP/1.1 +200 OK"s,
        "HTTP/1.1 -200 OK"s,
        "HTTP/1.1 200OK"s,
        "HTTP/1.1 200\tOK"s,
        "HTTP/1.1 20\xb2 OK"s,
        "HTTP/1.1 "s,
        "HTTP/1.1"s,
        "HTTP/1.1 OK"s,
        "HTTP/1.1 200 O\x01K"s,
        "HTTP/1.1 200 O\0K"s,
        "HTTP/1.1 200 O\x7fK"s,
        "HTTP/1.1 200 O\rK"s,
        "HTTP/1.1 200 OK\rA: b"s,
        "HTTP/1.1 200 OK\r"s,
        "HTTP/1.1 200\r OK"s,
        "HTTP/0.9 200 OK"s,
        "HTTP/2.0 200 OK"s,
        "HTTP/3.1 200 OK"s,
        "HTTP/1.10 200 OK"s,
        "HTTP/01.1 200 OK"s,
        "HTTP/1 200 OK"s,
        "HTTP/11 200 OK"s,
        "HTTP/1,1 200 OK"s,
        "HTTP/1.1200 OK"s,
        "HTTP /1.1 200 OK"s,
        "HTTP 200 OK"s,
        "http/1.1 200 OK"s,
        "HXXX/1.1 200 OK"s,
        "HTTP\x01"
        "1.1 200 OK"s,
        "ICY 200 OK"s,
        "\x01HTTP/1.1 200 OK"s,
        " HTTP/1.1 200 OK"s,
        "\rHTTP/1.1 200 OK"s,
        "200 OK"s,
    };
    std::vector<raw_response> responses;
    for (const std::string &line : lines)
        responses.push_back({line, line + "\r\n" + content.withLength()});
    return responses;
}

/** Returns the response to which a table adds its field lines. */
inline std::string headWith(std::string_view fieldLine, const response_content &content)
{
    return std::string("HTTP/1.1 200 OK\r\n").append(fieldLine).append(content.withLength());
}

/** Returns responses with a field line that is not valid, in the header or in that of an interim
    response before it. */
inline std::vector<raw_response> responsesWithInvalidField(const response_content &content)
{
    using namespace std::string_literals;
    const std::string lines[] = {
        "X Y: z"s,   "X : z"s,     "X\tY: z"s,  "X\t: z"s,     "X\x01Y: z"s,
        "X\x01: z"s, "X\0Y: z"s,   "X\x1b: z"s, "X\x7fY: z"s,  "X\xe9Y: z"s,
        "X(Y: z"s,   "X@Y: z"s,    ": z"s,      "X"s,          "X: y\x01z"s,
        "X: y\0z"s,  "X: y\x7fz"s, "X: y\rz"s,  "X: y\rA: b"s, "X\r: z"s,
    };
    std::vector<raw_response> responses;
    for (const std::string &line : lines) {
        responses.push_back({line, headWith(line + "\r\n", content)});
        responses.push_back(
            {line + " (interim)",
             "HTTP/1.1 103 Early\r\nA: b\r\n" + line + "\r\n\r\n" + headWith("", content)});
    }
    return responses;
}

/** Returns responses with a line that begins with a blank, which continues the line before it or is
    a name with a blank, in the header or in that of an interim response before it. */
inline std::vector<raw_response> responsesWithFoldedLine(const response_content &content)
{
    std::vector<raw_response> responses;
    for (const std::string line : {" X: z", "\tX: z", " z", "  ", " \t", " X : z"}) {
        responses.push_back({"first:" + line, headWith(line + "\r\n", content)});
        responses.push_back({"second:" + line, headWith("A: b\r\n" + line + "\r\n", content)});
        responses.push_back(
            {"interim:" + line,
             "HTTP/1.1 103 Early\r\nA: b\r\n" + line + "\r\n\r\n" + headWith("", content)});
    }
    return responses;
}

/** Returns a response with a field of its transfer coding and an encoded body. */
inline std::string withTransferCoding(std::string_view codingField, const std::string &encodedBody,
                                      const response_content &content)
{
    return "HTTP/1.1 200 OK\r\n" + content.fields + std::string(codingField) + "\r\n\r\n"
        + encodedBody;
}

/** Returns a body as one chunk, without the last one. */
inline std::string chunkOf(const std::string &body)
{
    return fmt::format("{:x}\r\n{}\r\n", body.size(), body);
}

/** Returns responses whose chunks or trailers are not valid. */
inline std::vector<raw_response> responsesWithInvalidChunks(const response_content &content)
{
    using namespace std::string_literals;
    const std::string size = fmt::format("{:x}", content.body.size());
    const std::string data = content.body + "\r\n";
    const std::string last = "0\r\n\r\n";
    const std::string bodies[] = {
        size + "\r\n" + content.body + "xx" + last,
        size + "\r\n" + content.body + "\rx" + last,
        size + "\r\n" + content.body + "x\n" + last,
        size + "\r\n" + content.body + "\n" + last,
        size + "\r\n" + content.body + last,
        size + "\r\n" + data + "\r\n" + last,
        size + "\rx" + data + last,
        size + "\n" + data + last,
        size + " x\r\n" + data + last,
        size + " " + size + "\r\n" + data + last,
        size + "x\r\n" + data + last,
        size + ",\r\n" + data + last,
        "+" + size + "\r\n" + data + last,
        "-" + size + "\r\n" + data + last,
        " " + size + "\r\n" + data + last,
        "0x" + size + "\r\n" + data + last,
        ";\r\n" + data + last,
        "\r\n" + data + last,
        "10000000000000000" + size + "\r\n" + data + last,
        size + ";a=\x01\r\n" + data + last,
        size + ";a=\0\r\n"s + data + last,
        size + ";a\nb\r\n" + data + last,
        size + ";a\rb\r\n" + data + last,
        size + "\r\n" + data + "0\rx\r\n",
        size + "\r\n" + data + "0\r\n\rx",
    };
    std::vector<raw_response> responses;
    for (const std::string &body : bodies)
        responses.push_back(
            {body, withTransferCoding("Transfer-Encoding: chunked", body, content)});
    const std::string trailers[] = {
        "X Y: z"s,  "X : z"s,   "X\tY: z"s, "X\x01Y: z"s, "X\0Y: z"s,    "X\xe9Y: z"s,
        "X(Y: z"s,  ": z"s,     "X"s,       " X: z"s,     "A: b\r\n z"s, "X: y\x01z"s,
        "X: y\0z"s, "X: y\rz"s, "X\r: z"s,  "\tX: z"s,
    };
    for (const std::string &trailer : trailers)
        responses.push_back(
            {"trailer: " + trailer,
             withTransferCoding("Transfer-Encoding: chunked",
                                chunkOf(content.body) + "0\r\n" + trailer + "\r\n\r\n", content)});
    return responses;
}

/** Returns responses whose transfer coding is not "chunked", or not in a form that is decoded, each
    with a body for each way in which it could be taken. */
inline std::vector<raw_response> responsesWithOtherTransferCoding(const response_content &content)
{
    const std::string fields[] = {
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip,chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: identity, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked;a=b",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunkedx",
        "Transfer-Encoding: chunked x",
        "Transfer-Encoding: \"chunked\"",
        "Transfer-Encoding: chunked\xff",
        "Transfer-Encoding: chunked\t",
        "Transfer-Encoding: chunked \t ",
        "Transfer-Encoding:",
        "Transfer-Encoding: ,",
        "Transfer-Encoding: , chunked",
        "Transfer-Encoding: chunked,",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding:",
    };
    std::vector<raw_response> responses;
    for (const std::string &field : fields) {
        const std::string length = fmt::format("\r\nContent-Length: {}", content.body.size());
        responses.push_back(
            {field, withTransferCoding(field, chunkOf(content.body) + "0\r\n\r\n", content)});
        responses.push_back(
            {field + " (no chunks)", withTransferCoding(field, content.body, content)});
        responses.push_back(
            {field + " (length)", withTransferCoding(field + length, content.body, content)});
    }
    // Version 1.0 has no transfer codings (RFC 9112, 6.1).
    responses.push_back({"version 1.0",
                         "HTTP/1.0 200 OK\r\n" + content.fields
                             + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(content.body)
                             + "0\r\n\r\n"});
    return responses;
}

/** Returns all responses that must be rejected. */
inline std::vector<raw_response> brokenResponses(const response_content &content)
{
    std::vector<raw_response> responses;
    for (const auto &table :
         {responsesWithInvalidStatusLine(content), responsesWithInvalidField(content),
          responsesWithFoldedLine(content), responsesWithInvalidChunks(content),
          responsesWithOtherTransferCoding(content)})
        responses.insert(responses.end(), table.begin(), table.end());
    return responses;
}

/** A response that must be accepted. */
struct sound_response
{
    std::string name;
    std::string bytes;
    int status = 200;
    std::string reason = "OK";
    bool hasBody = true;
};

/** Returns unusual responses that the protocol allows, or that are as clear as those. */
inline std::vector<sound_response> soundResponses(const response_content &content)
{
    const std::string rest = content.withLength();
    std::vector<sound_response> responses{
        {"empty reason", "HTTP/1.1 200 \r\n" + rest, 200, ""},
        {"no reason and no blank", "HTTP/1.1 200\r\n" + rest, 200, ""},
        {"reason of one character", "HTTP/1.1 200 !\r\n" + rest, 200, "!"},
        {"reason of other characters", "HTTP/1.1 200 \xe9t\xc3\xa9 (\"#\")\t= 000\r\n" + rest, 200,
         "\xe9t\xc3\xa9 (\"#\")\t= 000"},
        {"version 1.0", "HTTP/1.0 200 OK\r\n" + rest},
        {"higher minor version", "HTTP/1.2 200 OK\r\n" + rest},
        {"line feeds only", "HTTP/1.1 200 OK\n" + rest},
        {"empty lines before it", "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest},
        {"bytes over 127 in a value", "HTTP/1.1 200 OK\r\nX-Name: R\xc4\xabga\xff\r\n" + rest},
        {"tab in a value", "HTTP/1.1 200 OK\r\nX-Name: a\tb\r\n" + rest},
        {"empty value", "HTTP/1.1 200 OK\r\nX-Name:\r\n" + rest},
        {"all characters of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n" + rest},
        {"interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest},
        {"interim response with fields",
         "HTTP/1.1 103 \r\nLink: </a>\r\nX-Name: \xff\r\n\r\nHTTP/1.1 200 OK\r\n" + rest},
    };
    for (int status = 100; status < 200; ++status) {
        const std::string line = "HTTP/1.1 " + std::to_string(status) + "\r\n\r\n";
        responses.push_back(
            {"interim response " + std::to_string(status), line + "HTTP/1.1 200 OK\r\n" + rest});
    }
    const std::string chunk = chunkOf(content.body);
    const auto chunked = [&](std::string_view codingField, const std::string &body) {
        return withTransferCoding(codingField, body, content);
    };
    const std::string size = fmt::format("{:X}", content.body.size());
    const std::string halves = chunkOf(content.body.substr(0, 1)) + chunkOf(content.body.substr(1));
    responses.insert(
        responses.end(),
        {{"chunks", chunked("Transfer-Encoding: chunked", halves + "0\r\n\r\n")},
         {"letters of other cases", chunked("transfer-encoding:  CHUNKED ", chunk + "0\r\n\r\n")},
         {"zeros before a size",
          chunked("Transfer-Encoding: chunked",
                  "00" + size + "\r\n" + content.body + "\r\n000\r\n\r\n")},
         {"extensions",
          chunked("Transfer-Encoding: chunked",
                  size + ";a;b=\"c d\" ; e\r\n" + content.body + "\r\n0;\xff\r\n\r\n")},
         {"length of a body that status 304 does not have",
          "HTTP/1.1 304 OK\r\n" + content.fields + "Content-Length: 7\r\n\r\n", 304, "OK", false},
         {"length of a body that status 204 does not have",
          "HTTP/1.1 204 OK\r\n" + content.fields + "Content-Length: 7\r\n\r\n", 204, "OK", false},
         {"body that status 204 cannot have", "HTTP/1.1 204 OK\r\n" + rest, 204, "OK", false},
         {"body that status 304 cannot have", "HTTP/1.1 304 OK\r\n" + rest, 304, "OK", false},
         {"coding of a body that status 304 does not have",
          "HTTP/1.1 304 OK\r\n" + content.fields + "Transfer-Encoding: chunked\r\n\r\n", 304, "OK",
          false},
         {"length of an interim response",
          "HTTP/1.1 103 Early\r\nContent-Length: 7\r\n\r\nHTTP/1.1 200 OK\r\n" + rest},
         {"trailers",
          chunked("Transfer-Encoding: chunked",
                  chunk + "0\r\nX-Name: R\xc4\xabga\r\nX-Empty:\r\n\r\n")}});
    for (int status = 200; status < 600; ++status) {
        const std::string line = "HTTP/1.1 " + std::to_string(status) + " OK\r\n";
        const bool hasBody = status != 204 && status != 304;
        responses.push_back({"status " + std::to_string(status),
                             line + (hasBody ? rest : content.fields + "\r\n"), status, "OK",
                             hasBody});
    }
    return responses;
}

} // namespace mustardcourse::tests
