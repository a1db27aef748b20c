/// Which of the optional decisions a process makes; all are off unless its policy file says so.
#pragma once

namespace applehatch::direct {

/// Each policy has a page in docs/design and a key in docs/settings.md.
struct Policies
{
    /// Where slots are short, requests that can still be on time are admitted before others.
    bool admitsByTimeLeft = false;
    /// The pace that upstreams report counts in choices and expected waits.
    bool followsPace = false;
    /// Engines that report their pace are chosen by the prompt tokens that they have to read.
    bool weighsPrompts = false;
};

} // namespace applehatch::direct
