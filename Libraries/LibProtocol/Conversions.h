#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibPolicy/Work.h>
#include <LibProtocol/ProtocolVersion.h>

#include <Messages.pb.h>
#include <algorithm>
#include <cstdint>

namespace GraniteField::Protocol {

namespace Message = granitefield::protocol;

[[nodiscard]] inline Core::RequestId from_message(Message::RequestId const& message)
{
    return {message.entry(), message.sequence()};
}

/// A duration as messages carry it: whole milliseconds, and 0 for one that is over.
[[nodiscard]] inline std::uint32_t to_count(Core::Milliseconds duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(duration.count(), 0));
}

/// An envelope of this process's version, still without a body.
[[nodiscard]] inline Message::Envelope make_envelope()
{
    Message::Envelope envelope;
    envelope.set_protocol_version(s_protocol_version);
    return envelope;
}

/// The request and attempt that any message about an attempt names.
template <typename Body>
[[nodiscard]] Policy::AttemptKey key_of(Body const& body)
{
    return {from_message(body.request()), Core::AttemptNumber(body.attempt())};
}

template <typename Body>
void set_key(Body& body, Policy::AttemptKey const& key)
{
    body.mutable_request()->set_entry(key.request.entry);
    body.mutable_request()->set_sequence(key.request.sequence);
    body.set_attempt(key.attempt.value());
}

}
