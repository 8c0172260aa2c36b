#pragma once

#include <cstdint>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace GraniteField::HTTP {

/// Boost.Beast's parser for a request or an answer, which hands what it reads to a sink. A sink has
/// `take_start(method, target, version)` for requests or `take_start(status, version)` for answers (false refuses the
/// answer), `take_field(name, value)`, `take_head()` (false refuses the message) and `take_body(text)`.
template <bool is_request, typename Sink>
class BeastParser final : public boost::beast::http::basic_parser<is_request> {
public:
    explicit BeastParser(Sink& sink)
        : m_sink(sink)
    {
        this->eager(true);
    }

private:
    using Error = boost::system::error_code;
    using Text = boost::beast::string_view;

    static std::string_view view(Text text) { return {text.data(), text.size()}; }

    void on_request_impl(
        boost::beast::http::verb, Text method, Text target, int version, [[maybe_unused]] Error& error) override
    {
        if constexpr (is_request)
            m_sink.take_start(view(method), view(target), version);
    }

    void on_response_impl(int status, Text, int version, [[maybe_unused]] Error& error) override
    {
        if constexpr (!is_request) {
            if (!m_sink.take_start(status, version))
                error = boost::beast::http::error::bad_status;
        }
    }

    void on_field_impl(boost::beast::http::field, Text name, Text value, Error&) override
    {
        m_sink.take_field(view(name), view(value));
    }

    void on_header_impl(Error& error) override
    {
        if (!m_sink.take_head())
            error = boost::beast::http::error::bad_field;
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const&, Error&) override { }

    std::size_t on_body_impl(Text text, Error&) override
    {
        m_sink.take_body(view(text));
        return text.size();
    }

    void on_chunk_header_impl(std::uint64_t, Text, Error&) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, Text text, Error&) override
    {
        m_sink.take_body(view(text));
        return text.size();
    }

    void on_finish_impl(Error&) override { }

    Sink& m_sink;
};

}
