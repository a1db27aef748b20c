namespace applehatch::router {
auto placeholder() -> int;
auto placeholder() -> int
{
    return 0;
}
} // namespace applehatch::router
