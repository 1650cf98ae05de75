#pragma once

#include <stdexcept>
#include <string>

namespace mustardcourse {

/**
    Base class of all exceptions of this project.

    Catch it only at the top level of a request or a process; elsewhere catch the specific types
    that the code can handle.
*/
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Thrown if a text is not a valid address and port. @see endpoint::parse */
class malformed_endpoint_error : public error
{
public:
    explicit malformed_endpoint_error(const std::string &text);
};

/** Thrown if a request of a caller or operator is invalid. Its HTTP status is 400. */
class malformed_request_error : public error
{
public:
    using error::error;
};

/** Thrown if a server cannot listen on its address, for example as it is already in use. */
class listen_error : public error
{
public:
    using error::error;
};

} // namespace mustardcourse
