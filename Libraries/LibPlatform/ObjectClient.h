#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpClient.h>
#include <LibPlatform/Objects.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Platform {

/// Client of the platform's store: objects by kind and name, conditional writes, and watches, over HTTP/1.1 with JSON.
/// ObjectCodec.h has the forms of its messages. For one thread.
class ObjectClient {
public:
    /// The filter is for lists and watches.
    ObjectClient(Core::Address store, Core::Milliseconds call_timeout, ObjectFilter = {});

    /// The object, or nothing when there is none. Throws PlatformUnavailable.
    [[nodiscard]] std::optional<Object> read(std::string_view kind, std::string_view name);

    /// All objects of the kind. Throws PlatformUnavailable.
    [[nodiscard]] ObjectListing list(std::string_view kind);

    /// Reads the next page of a list that may have begun, and says whether the list is whole now. `begun` is nothing
    /// before the first page, and keeps what came where a page is refused. Throws PlatformUnavailable.
    bool list_next_page(std::string_view kind, std::optional<ObjectListing>& begun);

    /// What has changed behind the revision: waits for it as long as `wait` at most, and then has no events. Throws
    /// PlatformUnavailable, or HistoryGone if the store no longer has the changes or they take too much memory.
    [[nodiscard]] WatchAnswer watch(std::string_view kind, StoreRevision, Core::Milliseconds wait);

    /// Writes an object that must not exist yet. Throws VersionConflict or PlatformUnavailable.
    ObjectVersion create(std::string_view kind, std::string_view name, Json const& spec);

    /// Writes an object that must have this version. Throws VersionConflict or PlatformUnavailable.
    ObjectVersion update(std::string_view kind, std::string_view name, ObjectVersion expected, Json const& spec);

    /// Deletes an object; nothing happens when there is none. Throws PlatformUnavailable.
    void remove(std::string_view kind, std::string_view name);

    /// Makes running and later calls fail; for the thread that stops this client's owner.
    void abort() { m_http.abort(); }

private:
    [[nodiscard]] HTTP::ClientResponse call(std::string method, std::string const& path, Core::Milliseconds timeout,
        std::string body = {}, std::size_t largest_answer = HTTP::s_largest_body_bytes);
    [[nodiscard]] std::string read_body(
        std::string const& path, Core::Milliseconds timeout, std::size_t largest_answer = HTTP::s_largest_body_bytes);
    ObjectVersion write(std::string method, std::string const& path, std::string body);

    Core::Address m_store;
    Core::Milliseconds m_call_timeout;
    ObjectFilter m_filter;
    HTTP::HttpClient m_http;
};

}
