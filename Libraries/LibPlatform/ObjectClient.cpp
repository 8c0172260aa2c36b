#include <LibPlatform/ObjectClient.h>

#include <LibCore/Json.h>
#include <LibCore/Text.h>
#include <LibPlatform/ObjectCodec.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace GraniteField::Platform {

namespace {

constexpr int s_ok = 200;
constexpr int s_created = 201;
constexpr int s_no_content = 204;
constexpr int s_not_found = 404;
constexpr int s_conflict = 409;
constexpr int s_gone = 410;
constexpr int s_too_many_requests = 429;
/// A watch returns each change since its revision. Where objects of a megabyte change several times, a list of their
/// last versions takes less memory, since a parsed object takes ten times its text.
constexpr std::size_t s_largest_watch_bytes = 2U << 20U;

/// Decodes an answer; one of another form is no usable answer.
template <typename Decoder>
auto decode(std::string const& path, std::string const& body, Decoder decoder)
{
    try {
        return decoder(body);
    } catch (Core::JsonError const& error) {
        throw PlatformUnavailable(Core::concat(path, ": the answer can't be read: ", error.what()));
    } catch (Json::exception const& error) {
        throw PlatformUnavailable(Core::concat(path, ": the answer can't be read: ", error.what()));
    }
}

[[noreturn]] void throw_unexpected(std::string const& path, int status)
{
    auto const reason = Core::concat(path, ": status ", status);
    if (status == s_too_many_requests)
        throw PlatformOverRate(reason);
    throw PlatformUnavailable(reason);
}

}

ObjectClient::ObjectClient(Core::Address store, Core::Milliseconds call_timeout, ObjectFilter filter)
    : m_store(std::move(store))
    , m_call_timeout(call_timeout)
    , m_filter(std::move(filter))
{
}

HTTP::ClientResponse ObjectClient::call(std::string method, std::string const& path, Core::Milliseconds timeout,
    std::string body, std::size_t largest_answer)
{
    HTTP::ClientRequest request;
    request.largest_body = largest_answer;
    request.method = std::move(method);
    request.url = Core::concat("http://", m_store.to_string(), path);
    request.connect_timeout = m_call_timeout;
    request.timeout = timeout;
    if (!body.empty())
        request.headers.emplace_back("Content-Type: application/json");
    request.body = std::move(body);
    try {
        return m_http.send(request);
    } catch (HTTP::BodyTooLarge const&) {
        throw;
    } catch (HTTP::RequestFailed const& failure) {
        throw PlatformUnavailable(failure.what());
    }
}

std::string ObjectClient::read_body(std::string const& path, Core::Milliseconds timeout, std::size_t largest_answer)
{
    auto response = call("GET", path, timeout, {}, largest_answer);
    if (response.status == s_gone)
        throw HistoryGone(path);
    if (response.status != s_ok)
        throw_unexpected(path, response.status);
    return std::move(response.body);
}

std::optional<Object> ObjectClient::read(std::string_view kind, std::string_view name)
{
    auto const path = object_path(kind, name);
    auto const response = call("GET", path, m_call_timeout);
    if (response.status == s_not_found)
        return std::nullopt;
    if (response.status != s_ok)
        throw_unexpected(path, response.status);
    return decode(path, response.body, [](std::string_view body) { return decode_object(body); });
}

ObjectListing ObjectClient::list(std::string_view kind)
{
    std::optional<ObjectListing> listing;
    while (!list_next_page(kind, listing)) { }
    return *std::move(listing);
}

bool ObjectClient::list_next_page(std::string_view kind, std::optional<ObjectListing>& begun)
{
    auto const path = list_path(kind, begun ? std::string_view(begun->last_name) : std::string_view());
    auto page = decode(
        path, read_body(path, m_call_timeout), [this](std::string_view body) { return decode_list(body, m_filter); });
    // A change between two pages is in the watch that goes on from the first page's revision.
    if (!begun)
        begun = ObjectListing {page.listing.revision, {}, {}, {}};
    std::ranges::move(page.listing.objects, std::back_inserter(begun->objects));
    std::ranges::move(page.listing.unreadable, std::back_inserter(begun->unreadable));
    bool const goes_on = page.has_more && page.listing.last_name > begun->last_name;
    begun->last_name = std::max(begun->last_name, page.listing.last_name);
    return !goes_on;
}

WatchAnswer ObjectClient::watch(std::string_view kind, StoreRevision revision, Core::Milliseconds wait)
{
    auto const path = watch_path(kind, revision, wait);
    try {
        return decode(path, read_body(path, wait + m_call_timeout, s_largest_watch_bytes),
            [this](std::string_view body) { return decode_watch(body, m_filter); });
    } catch (HTTP::BodyTooLarge const& error) {
        throw HistoryGone(error.what());
    }
}

ObjectVersion ObjectClient::write(std::string method, std::string const& path, std::string body)
{
    auto const response = call(std::move(method), path, m_call_timeout, std::move(body));
    if (response.status == s_conflict)
        throw VersionConflict("the object has another version");
    if (response.status != s_ok && response.status != s_created)
        throw_unexpected(path, response.status);
    return decode(path, response.body, [](std::string_view body) { return decode_object(body); }).version;
}

ObjectVersion ObjectClient::create(std::string_view kind, std::string_view name, Json const& spec)
{
    return write("POST", object_path(kind, {}), encode_write(name, std::nullopt, spec));
}

ObjectVersion ObjectClient::update(
    std::string_view kind, std::string_view name, ObjectVersion expected, Json const& spec)
{
    return write("PUT", object_path(kind, name), encode_write(name, expected, spec));
}

void ObjectClient::remove(std::string_view kind, std::string_view name)
{
    auto const path = object_path(kind, name);
    auto const status = call("DELETE", path, m_call_timeout).status;
    if (status != s_ok && status != s_no_content && status != s_not_found)
        throw_unexpected(path, status);
}

}
