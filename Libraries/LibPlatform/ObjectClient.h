#pragma once

#include <LibCore/Address.h>
#include <LibCore/StrongInteger.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpClient.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace GraniteField::Platform {

/// Version that the platform gives an object at each write.
using ObjectVersion = Core::StrongInteger<struct ObjectVersionTag>;

struct Object {
    ObjectVersion version;
    std::string value;
};

/// The platform gave no usable answer. What was asked may have taken effect or not.
class PlatformUnavailable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A conditional write found another version than it expected.
class VersionConflict : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

enum class HostState {
    Live,
    Leaving,
};

struct Host {
    std::string address;
    HostState state {HostState::Live};
};

struct HostList {
    ObjectVersion version;
    std::vector<Host> hosts;
};

/// Client of the platform's object API: HTTP with `ETag`, `If-Match` and `If-None-Match` (RFC 9110,
/// sections 8.8.3 and 13.1), and a long poll for watches. For one thread.
class ObjectClient {
public:
    ObjectClient(Core::Address platform, Core::Milliseconds timeout);

    /// The object, or nothing when there is none. Throws PlatformUnavailable.
    [[nodiscard]] std::optional<Object> read(std::string_view name);

    /// Waits until the object has another version than the given one, for as long as `wait` at most;
    /// nothing when it has not. Throws PlatformUnavailable.
    [[nodiscard]] std::optional<Object> watch(std::string_view name, ObjectVersion known, Core::Milliseconds wait);

    /// Writes an object that must not exist yet. Throws VersionConflict or PlatformUnavailable.
    ObjectVersion create(std::string_view name, std::string value);

    /// Writes an object that must have this version. Throws VersionConflict or PlatformUnavailable.
    ObjectVersion update(std::string_view name, ObjectVersion expected, std::string value);

    /// Deletes an object; nothing happens when there is none. Throws PlatformUnavailable.
    void remove(std::string_view name);

    /// The platform's list of hosts, which lags. Throws PlatformUnavailable.
    [[nodiscard]] HostList hosts();

    /// Makes running and later calls fail; for the thread that stops this client's owner.
    void abort() { m_http.abort(); }

private:
    [[nodiscard]] HTTP::ClientRequest request(std::string method, std::string_view path) const;
    [[nodiscard]] HTTP::ClientResponse send(HTTP::ClientRequest const&);
    ObjectVersion write(HTTP::ClientRequest);

    Core::Address m_platform;
    Core::Milliseconds m_timeout;
    HTTP::HttpClient m_http;
};

}
