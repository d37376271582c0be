#ifndef EELGRASSBEND_UNITTESTS_ENTRY_GOLDEN_SESSION_H
#define EELGRASSBEND_UNITTESTS_ENTRY_GOLDEN_SESSION_H

#include "fakes/virtual_fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Sends requests to a fleet under virtual time and records all results.
class golden_session {
public:
    /// Creates three entry nodes and four endpoints in two availability zones, with the bundle
    /// `rules` in force.
    explicit golden_session(const bundle& rules);

    fakes::virtual_node& node(std::size_t index) { return *this->fleet.nodes[index]; }

    /// Sends `request` with the bearer key `key`, which the record omits.
    std::shared_ptr<fakes::virtual_exchange> send(std::size_t at, http_request request,
                                                  const std::string& key = "key-1");
    std::shared_ptr<fakes::virtual_exchange> send_chat(std::size_t at, bool stream, int tokens,
                                                       const header_list& headers = {},
                                                       const std::string& key = "key-1");
    std::shared_ptr<fakes::virtual_exchange> send_order(std::size_t at, const std::string& key);
    std::string make_key();

    /// Formats the record as lines of text.
    std::string to_text();
    /// Compares the record with the golden file `name`, or rewrites the file if
    /// EELGRASSBEND_UPDATE_GOLDEN is 1.
    void compare_with_golden(const std::string& name);

    fakes::virtual_fleet fleet{1};

private:
    struct exchange_record {
        std::size_t node = 0;
        http_request request;
        std::shared_ptr<fakes::virtual_exchange> answer;
    };

    std::vector<exchange_record> exchanges;
};

} // namespace eelgrassbend

#endif
