namespace applehatch::telemetry {
auto placeholder() -> int;
auto placeholder() -> int
{
    return 0;
}
} // namespace applehatch::telemetry
