// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.membership;

import java.util.Collection;
import java.util.List;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Hashes;

/**
 * Groups the live instances, as one instance sees them, by availability zone. Immutable,
 * thread-safe.
 *
 * <p>Computed once for each change of the members, because every tick uses it and ranking takes
 * several hashes per name.
 *
 * @param live the instances that are not known to be dead, including this one
 * @param zonePeers the other instances of its zone
 * @param remotePeers the instances of other zones
 * @param readerRank the names of the instances of its zone, without leaving ones, in rendezvous
 *     order; the first ones read the store
 */
record MemberView(
    List<Member> live, List<Member> zonePeers, List<Member> remotePeers, List<String> readerRank) {

  /** Returns the members as the instance sees them. */
  static MemberView of(Member self, Collection<Member> members) {
    List<Member> live =
        members.stream().filter(member -> member.state() != Member.State.DEAD).toList();
    List<Member> ownZone =
        live.stream().filter(member -> member.zone().equals(self.zone())).toList();
    List<String> eligibleReaders =
        ownZone.stream()
            .filter(member -> member.state() != Member.State.LEAVING)
            .map(Member::name)
            .toList();
    return new MemberView(
        live,
        ownZone.stream().filter(member -> !member.name().equals(self.name())).toList(),
        live.stream().filter(member -> !member.zone().equals(self.zone())).toList(),
        Hashes.rendezvous("reader-" + self.zone(), eligibleReaders));
  }
}
