// Provides main() for every test program. The build defines BOOST_TEST_MODULE, which Boost.Test requires for it.
#include <boost/test/unit_test.hpp>
