#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace GraniteField::Testing {

/// Fills the text of a settings template as the users' platform does: `{{a.b}}` and `{{a.0}}` give a value,
/// `{{a|json}}` the same as JSON; `{{#a}} .. {{/a}}` stands once for each entry of a list, or once for a value that is
/// given;
/// `{{.}}` is the entry, and `{{,}}` a comma after all but the last.
///
/// Tests start gateways with what the deployed template gives, so that its times are the ones that are tested. Throws
/// std::runtime_error where a section has no end.
[[nodiscard]] std::string fill_template(std::string_view text, nlohmann::json const& fields);

/// The template that gateways are deployed with.
[[nodiscard]] std::string gateway_template();

}
