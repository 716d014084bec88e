// The entry point of each test program; the build names the module.
#include <boost/test/unit_test.hpp>
