namespace applehatch::sidecar {
auto placeholder() -> int;
auto placeholder() -> int
{
    return 0;
}
} // namespace applehatch::sidecar
