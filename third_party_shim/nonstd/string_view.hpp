// RESTinio includes <nonstd/string_view.hpp>; Debian ships the file inside
// RESTinio's own folder, so this header forwards to it.
#pragma once
#include <restinio/third_party/string-view-lite/string_view.hpp>
