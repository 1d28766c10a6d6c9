// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.membership;

import java.util.Collection;
import java.util.List;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Hashes;

/**
 * The live instances as one instance sees them, sorted out by availability zone. Immutable,
 * thread-safe.
 *
 * <p>Drawn once for each change of the members, because each tick asks for it and a rank takes
 * several hashes of names.
 *
 * @param live all that are believed to live, the own one included
 * @param zonePeers the others of the own zone
 * @param remotePeers those of other zones
 * @param readerRank the names of the own zone's instances, the one that reads the store first
 */
record MemberView(
    List<Member> live, List<Member> zonePeers, List<Member> remotePeers, List<String> readerRank) {

  /** Returns the view that the instance has of the members. */
  static MemberView of(Member self, Collection<Member> members) {
    List<Member> live =
        members.stream().filter(member -> member.state() != Member.State.DEAD).toList();
    List<Member> ownZone =
        live.stream().filter(member -> member.zone().equals(self.zone())).toList();
    List<String> staying =
        ownZone.stream()
            .filter(member -> member.state() != Member.State.LEAVING)
            .map(Member::name)
            .toList();
    return new MemberView(
        live,
        ownZone.stream().filter(member -> !member.name().equals(self.name())).toList(),
        live.stream().filter(member -> !member.zone().equals(self.zone())).toList(),
        Hashes.rendezvous("reader-" + self.zone(), staying));
  }
}
