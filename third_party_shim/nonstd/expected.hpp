// RESTinio includes <nonstd/expected.hpp>; Debian ships the file inside
// RESTinio's own folder, so this header forwards to it.
#pragma once
#include <restinio/third_party/expected-lite/expected.hpp>
