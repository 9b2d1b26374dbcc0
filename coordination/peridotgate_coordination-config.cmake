include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Boost 1.81)
include("${CMAKE_CURRENT_LIST_DIR}/peridotgate_coordination-targets.cmake")
