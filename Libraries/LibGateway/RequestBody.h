#pragma once

#include <LibGateway/MemoryAccount.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace GraniteField::Gateway {

/// The body of a request. Copies share the bytes, which are released with the last of them.
class RequestBody {
public:
    RequestBody() = default;
    explicit RequestBody(std::string text, MemoryCharge charge = {})
        : m_content(std::make_shared<Content const>(std::move(text), std::move(charge)))
    {
    }

    [[nodiscard]] std::string_view text() const { return m_content ? m_content->text : std::string_view(); }
    [[nodiscard]] std::size_t size() const { return text().size(); }

    /// Gives up this copy's share of the bytes.
    void release()
    {
        m_is_released = true;
        m_content.reset();
    }
    [[nodiscard]] bool is_released() const { return m_is_released; }

private:
    struct Content {
        Content(std::string body, MemoryCharge body_charge)
            : text(std::move(body))
            , charge(std::move(body_charge))
        {
        }

        std::string text;
        MemoryCharge charge;
    };

    std::shared_ptr<Content const> m_content;
    bool m_is_released {false};
};

}
