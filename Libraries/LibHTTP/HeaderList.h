#pragma once

#include <new>
#include <string>

#include <curl/curl.h>

namespace GraniteField::HTTP {

/// The list of header lines that libcurl takes, freed with its owner.
class HeaderList {
public:
    HeaderList() = default;
    ~HeaderList() { curl_slist_free_all(m_list); }
    HeaderList(HeaderList const&) = delete;
    HeaderList& operator=(HeaderList const&) = delete;

    /// Adds a line such as `Content-Type: text/plain`.
    void append(std::string const& line)
    {
        auto* longer = curl_slist_append(m_list, line.c_str());
        if (longer == nullptr)
            throw std::bad_alloc();
        m_list = longer;
    }

    [[nodiscard]] curl_slist* list() const { return m_list; }

private:
    curl_slist* m_list {nullptr};
};

}
