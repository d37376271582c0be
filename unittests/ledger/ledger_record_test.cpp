#include "eelgrassbend/ledger/ledger_record.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/random_source.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static ledger_line example_line(const std::string& request)
{
    ledger_line line;
    line.request = request_id{request};
    line.attempt = attempt_id{request + "/2"};
    line.organisation = organisation_id{"sopa-lodges"};
    line.service = service_id{"draft-llm"};
    line.endpoint = endpoint_id{"engine-7"};
    line.version = bundle_version{41};
    line.prompt_tokens = token_count{1200};
    line.output_tokens = token_count{350};
    line.price = money{4711};
    line.answer_digest = sha256_hex("badge");
    line.accepted_at = wall_time{std::chrono::milliseconds{1'767'225'600'123}};
    return line;
}

static log_record record_of(std::uint64_t offset, const ledger_line& line)
{
    return {log_offset{offset}, record_id{line.request.value()}, {}, encode_ledger_line(line)};
}

BOOST_AUTO_TEST_CASE(a_line_survives_its_record)
{
    const auto line = example_line("e1-a");
    const auto read = decode_ledger_line(encode_ledger_line(line)).value();
    BOOST_TEST((read.request == line.request && read.attempt == line.attempt));
    BOOST_TEST((read.organisation == line.organisation && read.service == line.service));
    BOOST_TEST((read.endpoint == line.endpoint && read.version == line.version));
    BOOST_TEST((read.prompt_tokens == line.prompt_tokens));
    BOOST_TEST((read.output_tokens == line.output_tokens && read.price == line.price));
    BOOST_TEST(read.answer_digest == line.answer_digest);
    BOOST_TEST((read.accepted_at == line.accepted_at));
}

BOOST_AUTO_TEST_CASE(a_request_is_billed_once_and_contradictions_are_counted)
{
    ledger_fold fold;
    auto first = example_line("e1-a");
    fold.add(record_of(0, first));
    fold.add(record_of(1, example_line("e1-b")));
    fold.add(record_of(2, first));
    first.price = money{9999};
    fold.add(record_of(3, first));
    fold.add({log_offset{4}, record_id{"x"}, {}, "no line"});
    BOOST_TEST(fold.lines().size() == 2U);
    BOOST_TEST((fold.lines()[0].price == money{4711}));
    BOOST_TEST(fold.repeated() == 1U);
    BOOST_TEST(fold.contradicting() == 1U);
    BOOST_TEST(fold.unreadable() == 1U);
}

BOOST_AUTO_TEST_CASE(damaged_lines_are_refused_or_read_without_harm)
{
    seeded_random random{11};
    const auto whole = encode_ledger_line(example_line("e1-a"));
    std::size_t refused = 0;
    for (int round = 0; round < 5'000; ++round) {
        auto bytes = whole;
        for (int flips = 0; flips < 4; ++flips) {
            bytes[random_below(random, bytes.size())] = static_cast<char>(random() & 0xffU);
        }
        bytes.resize(random_below(random, bytes.size() + 1));
        refused += decode_ledger_line(bytes).has_value() ? 0 : 1;
    }
    BOOST_TEST(refused > 4'000U);
}

} // namespace eelgrassbend
