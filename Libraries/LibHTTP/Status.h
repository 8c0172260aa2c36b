#pragma once

/// Status codes of HTTP by name, and what they promise (RFC 9110, section 15; RFC 6585).
namespace GraniteField::HTTP::Status {

inline constexpr int s_first_interim = 100;
inline constexpr int s_first_final = 200;
inline constexpr int s_last_valid = 599;
inline constexpr int s_request_timeout = 408;
inline constexpr int s_misdirected = 421;
inline constexpr int s_too_many_requests = 429;
inline constexpr int s_first_server_error = 500;
inline constexpr int s_bad_gateway = 502;
inline constexpr int s_unavailable = 503;
inline constexpr int s_gateway_timeout = 504;

/// Whether the status belongs to one of the five classes. An answer with any other status is invalid.
[[nodiscard]] constexpr bool is_valid(int status)
{
    return status >= s_first_interim && status <= s_last_valid;
}

[[nodiscard]] constexpr bool is_interim(int status)
{
    return status >= s_first_interim && status < s_first_final;
}

[[nodiscard]] constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/// Whether the status alone tells that the request did not run.
[[nodiscard]] constexpr bool promises_not_run(int status)
{
    return status == s_request_timeout || status == s_misdirected || status == s_too_many_requests
        || status == s_unavailable;
}

}
