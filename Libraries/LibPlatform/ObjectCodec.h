#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/Objects.h>

#include <optional>
#include <string>
#include <string_view>

/// The forms that the store's messages have on the wire. Declared here for the client, and defined by the adapter in
/// `platform/`, which alone knows the names. Decoders throw Core::JsonError or Json::exception where a message has
/// another form. Each object is parsed on its own, so that one that can't be parsed spoils no other.
namespace GraniteField::Platform {

/// The kind of objects that the operators' configuration is, and the configuration's name.
[[nodiscard]] std::string_view configuration_kind();
[[nodiscard]] std::string_view configuration_name();
/// The kind of objects that backend servers enter themselves as.
[[nodiscard]] std::string_view servers_kind();
/// The kind of objects by which operators drain failure domains; each has the name of one.
[[nodiscard]] std::string_view drains_kind();

[[nodiscard]] std::string object_path(std::string_view kind, std::string_view name);
/// The path of a list's page behind the name, or of its first page.
[[nodiscard]] std::string list_path(std::string_view kind, std::string_view after);
[[nodiscard]] std::string watch_path(std::string_view kind, StoreRevision, Core::Milliseconds wait);

/// The body of a write; `expected` makes it conditional.
[[nodiscard]] std::string encode_write(std::string_view name, std::optional<ObjectVersion> expected, Json const& spec);

[[nodiscard]] Object decode_object(std::string_view, ObjectFilter const& = {});

/// One page of a list.
struct ListPage {
    ObjectListing listing;
    bool has_more {false};
};

[[nodiscard]] ListPage decode_list(std::string_view, ObjectFilter const& = {});
[[nodiscard]] WatchAnswer decode_watch(std::string_view, ObjectFilter const& = {});

/// An entry that was read just now. Throws Core::InvalidInput as well, when it names no address.
[[nodiscard]] ServerEntry decode_server(Object const&, Core::MonotonicTime now);

}
