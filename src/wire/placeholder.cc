namespace applehatch::wire {
auto placeholder() -> int;
auto placeholder() -> int
{
    return 0;
}
} // namespace applehatch::wire
