#include "engine_fixture.h"

#include "eelgrassbend/routing/router.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(a_cached_prefix_is_not_computed_again)
{
    engine_fixture test;
    const auto shared = long_prompt("badge", 800);
    test.submit(test_request("a", shared + "first", 1));
    test.time.run_all();
    const auto before = test.engine.totals().prefilled_tokens;
    test.submit(test_request("b", shared + "second", 1));
    test.time.run_all();
    BOOST_TEST(test.observer.records["a"].usage.cached_tokens.value() == 0);
    BOOST_TEST(test.observer.records["b"].usage.cached_tokens.value() == 800);
    BOOST_TEST((test.engine.totals().prefilled_tokens - before).value() == 1);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_prefix_is_evicted)
{
    auto settings = test_settings();
    settings.cache_blocks = 20;
    engine_fixture test{settings};
    const auto run = [&](const std::string& attempt, const std::string& name) {
        test.submit(test_request(attempt, long_prompt(name, 160), 1));
        test.time.run_all();
        return test.observer.records[attempt].usage.cached_tokens.value();
    };
    run("1", "badge");
    run("2", "cup");
    BOOST_TEST(run("3", "badge") > 140);
    run("4", "trophy");
    BOOST_TEST(run("5", "badge") > 140);
    BOOST_TEST(run("6", "cup") == 0);
}

BOOST_AUTO_TEST_CASE(a_resumed_answer_equals_an_uninterrupted_one)
{
    const std::string prompt = "draft a layout for 40 badges";
    engine_fixture whole;
    whole.submit(test_request("a", prompt, 90));
    whole.time.run_all();
    engine_fixture first;
    first.submit(test_request("a", prompt, 90));
    first.time.run_for(milliseconds{700});
    BOOST_TEST(first.engine.cancel(attempt_id{"a"}));
    const auto emitted = first.observer.records["a"];
    engine_fixture second;
    auto rest = test_request("b", prompt, 90);
    rest.resumed_text = emitted.text;
    rest.resumed_tokens = emitted.usage.output_tokens;
    second.submit(rest);
    second.time.run_all();
    const auto& resumed = second.observer.records["b"];
    BOOST_TEST(emitted.times.size() > 10U);
    BOOST_TEST(emitted.text + resumed.text == whole.observer.records["a"].text);
    BOOST_TEST(resumed.first_index == emitted.usage.output_tokens.value());
    BOOST_TEST(resumed.usage.output_tokens.value() == 90);
    // The second engine has nothing cached, so it computes the prompt and the resumed tokens.
    const auto resumed_prompt_tokens =
        make_prompt(prompt).tokens.tokens() + emitted.usage.output_tokens.value();
    BOOST_TEST(second.engine.totals().prefilled_tokens.value() == resumed_prompt_tokens);
    // The first engine still caches all complete blocks.
    rest.attempt = attempt_id{"c"};
    first.submit(rest);
    first.time.run_all();
    BOOST_TEST(first.observer.records["c"].usage.cached_tokens.value() ==
               resumed_prompt_tokens - resumed_prompt_tokens % prefix_block_tokens);
}

BOOST_AUTO_TEST_CASE(an_answer_ends_at_its_bound_or_its_own_length)
{
    engine_fixture test;
    auto request = test_request("a", "a", 30);
    request.answer_length = token_count{31};
    test.submit(request);
    test.submit(test_request("b", "a", 30));
    test.time.run_all();
    BOOST_TEST((test.observer.records["a"].reason == finish_reason::length));
    BOOST_TEST((test.observer.records["b"].reason == finish_reason::stop));
    BOOST_TEST(test.observer.records["a"].text == answer_text(make_prompt("a").seed, 30));
}

BOOST_AUTO_TEST_CASE(an_imported_snapshot_avoids_prefill)
{
    auto settings = test_settings();
    settings.kv_bytes_per_second = 1.0e9; // 210 ms for 1,600 tokens
    engine_fixture from{settings};
    engine_fixture to{settings};
    const auto prompt = long_prompt("badge", 1600);
    from.submit(test_request("a", prompt, 500));
    from.time.run_for(seconds{2});
    kv_snapshot snapshot;
    from.engine.export_kv(attempt_id{"a"}, [&](const auto& answer) { snapshot = answer.value(); });
    BOOST_TEST(snapshot.blocks.empty());
    from.time.run_for(seconds{1});
    BOOST_TEST(snapshot.tokens.value() >= 1600);
    bool is_imported = false;
    to.engine.import_kv(snapshot, [&](const auto& answer) { is_imported = answer.has_value(); });
    to.time.run_for(milliseconds{100});
    BOOST_TEST(!is_imported);
    to.time.run_for(seconds{1});
    BOOST_TEST(is_imported);
    to.submit(test_request("b", prompt, 1));
    to.time.run_all();
    BOOST_TEST(to.engine.totals().prefilled_tokens.value() <= prefix_block_tokens);
    bool is_found = true;
    to.engine.export_kv(attempt_id{"none"},
                        [&](const auto& answer) { is_found = answer.has_value(); });
    to.time.run_all();
    BOOST_TEST(!is_found);
}

BOOST_AUTO_TEST_CASE(a_load_report_lags)
{
    engine_fixture test;
    test.time.run_for(seconds{1});
    for (int index = 0; index < 4; ++index) {
        test.submit(test_request(std::to_string(index), "a", 400));
    }
    test.time.run_for(milliseconds{490});
    BOOST_TEST(test.engine.current_load().running == 4U);
    BOOST_TEST(test.engine.lagging_load().running == 0U);
    BOOST_TEST((test.time.wall_now() - test.engine.lagging_load().measured_at ==
                test.engine.settings().load_report_lag));
    test.time.run_for(milliseconds{510});
    BOOST_TEST(test.engine.lagging_load().running == 4U);
    // A step with four attempts takes 20.4 ms.
    BOOST_TEST(test.engine.lagging_load().tokens_per_second > 180.0);
    test.time.run_all();
    BOOST_TEST(test.engine.lagging_load().running == 4U);
    test.time.run_for(milliseconds{501});
    BOOST_TEST(test.engine.lagging_load().running == 0U);
    BOOST_TEST(test.engine.lagging_load().tokens_per_second == 0.0);
}

BOOST_AUTO_TEST_CASE(cache_events_are_delayed_and_lossy)
{
    engine_fixture test;
    test.submit(test_request("a", long_prompt("badge", 32), 1));
    test.time.run_for(milliseconds{300});
    BOOST_TEST(test.engine.cache_events(0).events.empty());
    test.time.run_for(milliseconds{600});
    const auto first = test.engine.cache_events(0);
    BOOST_TEST(first.events.size() == 1U);
    const auto expected = make_prompt(long_prompt("badge", 32)).tokens.blocks();
    BOOST_TEST(first.events.at(0).blocks == expected, boost::test_tools::per_element());
    BOOST_TEST(test.engine.cache_events(first.next_sequence).events.empty());
    test.engine.set_cache_event_loss(0.5);
    for (int index = 0; index < 40; ++index) {
        const auto name = std::to_string(index);
        test.submit(test_request(name, long_prompt("cup" + name + "x", 16), 1));
    }
    test.time.run_all();
    test.time.run_for(seconds{1});
    const auto later = test.engine.cache_events(first.next_sequence);
    BOOST_TEST(later.events.size() > 8U);
    BOOST_TEST(later.events.size() < 32U);
    BOOST_TEST(later.next_sequence == later.events.back().sequence + 1);
    BOOST_TEST(later.events.back().sequence - first.next_sequence + 1 > later.events.size());
}

BOOST_AUTO_TEST_CASE(a_stale_fencing_token_is_refused_if_checked)
{
    for (const bool checks : {true, false}) {
        auto settings = test_settings();
        settings.checks_fencing = checks;
        engine_fixture test{settings};
        const auto order = [&](std::uint64_t token, const std::string& model) {
            std::error_code code;
            engine_order requested;
            requested.token = fencing_token{token};
            requested.model = model_id{model};
            test.engine.order(requested, [&](const auto& answer) {
                code = answer.has_value() ? std::error_code{} : answer.error().code;
            });
            test.time.run_all();
            return code;
        };
        BOOST_TEST(!order(7, "new"));
        // Loading 16 GB of weights at 2 GB/s takes 8 s.
        BOOST_TEST((test.time.now().time_since_epoch() == seconds{8}));
        BOOST_TEST((order(6, "old") == errc::conflict) == checks);
        BOOST_TEST(test.engine.state().models.size() == (checks ? 2U : 3U));
        BOOST_TEST(test.engine.state().highest_token.value() == 7U);
    }
}

BOOST_AUTO_TEST_CASE(unloading_a_model_cancels_its_attempts)
{
    engine_fixture test;
    test.submit(test_request("a", long_prompt("badge", 64), 1000));
    test.time.run_for(seconds{1});
    engine_order requested;
    requested.kind = order_kind::unload;
    requested.model = model_id{"badge-draft"};
    test.engine.order(requested, [](const auto&) {});
    test.time.run_for(seconds{1});
    BOOST_TEST(test.observer.records["a"].cancelled == 1);
    auto again = test_request("b", "a", 1);
    again.model = requested.model;
    BOOST_TEST((test.engine.submit(again, test.observer).error().code == errc::not_found));
    BOOST_TEST((test.engine.cache_events(0).events.back().kind == cache_event_kind::cleared));
}

} // namespace eelgrassbend
