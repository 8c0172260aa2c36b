#include <LibPlatform/ObjectClient.h>

#include <LibCore/Text.h>

#include <charconv>

#include <nlohmann/json.hpp>

namespace GraniteField::Platform {

namespace {

/// How much longer than the wait itself a watch's answer may take.
constexpr Core::Milliseconds s_watch_grace {2000};

ObjectVersion version_of(HTTP::ClientResponse const& response)
{
    auto const etag = response.headers.find("etag");
    if (etag == response.headers.end())
        throw PlatformUnavailable("the answer names no version");
    std::string_view text = etag->second;
    if (text.size() >= 2 && text.starts_with('"') && text.ends_with('"'))
        text = text.substr(1, text.size() - 2);
    std::uint64_t version = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), version);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size())
        throw PlatformUnavailable(Core::concat("the version '", text, "' is not a number"));
    return ObjectVersion(version);
}

std::string quoted(ObjectVersion version)
{
    return Core::concat("\"", version.value(), "\"");
}

[[noreturn]] void throw_unexpected(HTTP::ClientResponse const& response)
{
    throw PlatformUnavailable(Core::concat("the platform answered with status ", response.status));
}

}

ObjectClient::ObjectClient(Core::Address platform, Core::Milliseconds timeout)
    : m_platform(std::move(platform))
    , m_timeout(timeout)
{
}

HTTP::ClientRequest ObjectClient::request(std::string method, std::string_view path) const
{
    HTTP::ClientRequest request;
    request.method = std::move(method);
    request.url = Core::concat("http://", m_platform.to_string(), path);
    request.connect_timeout = m_timeout;
    request.timeout = m_timeout;
    return request;
}

HTTP::ClientResponse ObjectClient::send(HTTP::ClientRequest const& request)
{
    try {
        return m_http.send(request);
    } catch (HTTP::RequestFailed const& failure) {
        throw PlatformUnavailable(failure.what());
    }
}

std::optional<Object> ObjectClient::read(std::string_view name)
{
    auto response = send(request("GET", Core::concat("/objects/", name)));
    if (response.status == 404)
        return std::nullopt;
    if (response.status != 200)
        throw_unexpected(response);
    auto const version = version_of(response);
    return Object {version, std::move(response.body)};
}

std::optional<Object> ObjectClient::watch(std::string_view name, ObjectVersion known, Core::Milliseconds wait)
{
    auto watch_request = request("GET", Core::concat("/objects/", name, "?wait-ms=", wait.count()));
    watch_request.headers.push_back("If-None-Match: " + quoted(known));
    watch_request.timeout = wait + s_watch_grace;
    auto response = send(watch_request);
    if (response.status == 304 || response.status == 404)
        return std::nullopt;
    if (response.status != 200)
        throw_unexpected(response);
    auto const version = version_of(response);
    return Object {version, std::move(response.body)};
}

ObjectVersion ObjectClient::write(HTTP::ClientRequest write_request)
{
    write_request.headers.emplace_back("Content-Type: application/octet-stream");
    auto const response = send(write_request);
    if (response.status == 412)
        throw VersionConflict("the object has another version");
    if (response.status != 200 && response.status != 201)
        throw_unexpected(response);
    return version_of(response);
}

ObjectVersion ObjectClient::create(std::string_view name, std::string value)
{
    auto create_request = request("PUT", Core::concat("/objects/", name));
    create_request.headers.emplace_back("If-None-Match: *");
    create_request.body = std::move(value);
    return write(std::move(create_request));
}

ObjectVersion ObjectClient::update(std::string_view name, ObjectVersion expected, std::string value)
{
    auto update_request = request("PUT", Core::concat("/objects/", name));
    update_request.headers.push_back("If-Match: " + quoted(expected));
    update_request.body = std::move(value);
    return write(std::move(update_request));
}

void ObjectClient::remove(std::string_view name)
{
    auto const response = send(request("DELETE", Core::concat("/objects/", name)));
    if (response.status != 204 && response.status != 404)
        throw_unexpected(response);
}

HostList ObjectClient::hosts()
{
    auto const response = send(request("GET", "/hosts"));
    if (response.status != 200)
        throw_unexpected(response);
    try {
        HostList list {version_of(response), {}};
        auto const json = nlohmann::json::parse(response.body);
        for (auto const& entry : json.at("hosts")) {
            bool const is_leaving = entry.at("state").get<std::string>() == "leaving";
            list.hosts.push_back(
                {entry.at("address").get<std::string>(), is_leaving ? HostState::Leaving : HostState::Live});
        }
        return list;
    } catch (nlohmann::json::exception const& error) {
        throw PlatformUnavailable(Core::concat("the host list can't be read: ", error.what()));
    }
}

}
