#include <LibBase/Error.h>
#include <LibBase/NearestName.h>
#include <LibBase/Try.h>
#include <array>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;

BOOST_AUTO_TEST_CASE(verdicts_and_reasons_are_converted_to_text_and_back)
{
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran })
        BOOST_TEST((verdictFromString(toString(verdict)) == verdict));
    BOOST_TEST(!verdictFromString("perhaps"));
    for (auto reason : { Reason::Overloaded, Reason::KeyExpired, Reason::StorageFull })
        BOOST_TEST((reasonFromString(toString(reason)) == reason));
}

static ErrorOr<int> half(int value)
{
    if (value % 2)
        return tl::unexpected(Error::notRun(Reason::InvalidInput, "odd"));
    return value / 2;
}

static ErrorOr<int> quarter(int value)
{
    return half(TRY(half(value)));
}

BOOST_AUTO_TEST_CASE(try_returns_a_failure_from_the_enclosing_function)
{
    BOOST_TEST(*quarter(12) == 3);
    BOOST_TEST((quarter(6).error().reason == Reason::InvalidInput));
}

BOOST_AUTO_TEST_CASE(nearest_name_suggests_only_similar_names)
{
    std::array<std::string, 3> names { "rota-desk", "rota-query", "dispatch" };
    BOOST_TEST(nearestName("rota-dsk", names) == "rota-desk");
    BOOST_TEST(nearestName("zzz", names) == "");
}
