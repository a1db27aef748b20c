namespace applehatch::platform {
auto placeholder() -> int;
auto placeholder() -> int
{
    return 0;
}
} // namespace applehatch::platform
