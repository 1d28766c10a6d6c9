// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.oatlug.api.ObjectKey;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.crash.CrashNews;
import org.oatlug.internal.gather.Account;
import org.oatlug.internal.gather.SeenSession;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.ledger.LedgerResult;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/** A message between entry instances. Immutable. Ages are in milliseconds. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t", defaultImpl = PeerMessage.Unknown.class)
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Challenge.class, name = "challenge"),
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = PeerMessage.Welcome.class, name = "welcome"),
  @JsonSubTypes.Type(value = PeerMessage.Ping.class, name = "ping"),
  @JsonSubTypes.Type(value = PeerMessage.PingFor.class, name = "pingFor"),
  @JsonSubTypes.Type(value = PeerMessage.Ack.class, name = "ack"),
  @JsonSubTypes.Type(value = PeerMessage.Digest.class, name = "digest"),
  @JsonSubTypes.Type(value = PeerMessage.BucketDigests.class, name = "buckets"),
  @JsonSubTypes.Type(value = PeerMessage.Objects.class, name = "objects"),
  @JsonSubTypes.Type(value = PeerMessage.VersionQuery.class, name = "versionQuery"),
  @JsonSubTypes.Type(value = PeerMessage.VersionAnswer.class, name = "versionAnswer"),
  @JsonSubTypes.Type(value = PeerMessage.Submit.class, name = "submit"),
  @JsonSubTypes.Type(value = PeerMessage.Submitted.class, name = "submitted"),
  @JsonSubTypes.Type(value = PeerMessage.HoldBill.class, name = "holdBill"),
  @JsonSubTypes.Type(value = PeerMessage.DropBills.class, name = "dropBills"),
  @JsonSubTypes.Type(value = PeerMessage.UpstreamLeaving.class, name = "upstreamLeaving"),
  @JsonSubTypes.Type(value = PeerMessage.GuardEvidence.class, name = "guard"),
  @JsonSubTypes.Type(value = PeerMessage.InstanceAccount.class, name = "instanceAccount"),
  @JsonSubTypes.Type(value = PeerMessage.FleetAccount.class, name = "fleetAccount"),
  @JsonSubTypes.Type(value = PeerMessage.ZoneAccount.class, name = "zoneAccount"),
  @JsonSubTypes.Type(value = PeerMessage.Crashes.class, name = "crashes"),
  @JsonSubTypes.Type(value = PeerMessage.ReadInstead.class, name = "readInstead"),
  @JsonSubTypes.Type(value = PeerMessage.Done.class, name = "done"),
  @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "failed")
})
public sealed interface PeerMessage {

  /** The first message of the accepting side. */
  record Challenge(String nonce) implements PeerMessage {}

  /** The first message of the calling side, with its proof of the shared key. */
  record Hello(Member member, String nonce, String proof) implements PeerMessage {}

  /** The accepting side's proof of the shared key. */
  record Welcome(Member member, String proof) implements PeerMessage {}

  /** A probe, with news of members. */
  record Ping(List<Member> news) implements PeerMessage {}

  /** Asks the receiver to probe {@code target} in the sender's place. */
  record PingFor(String target, List<Member> news) implements PeerMessage {}

  /** The answer to a probe, with news of members. */
  record Ack(List<Member> news) implements PeerMessage {}

  /**
   * The digest over all objects, the age of the last platform contact, -1 if there is none, whether
   * the sender has read all kinds, and whether it is in sync with the instances that ran before it.
   */
  record Digest(long digest, long contactAge, boolean readAll, boolean inSync)
      implements PeerMessage {}

  /** The digests of the buckets; the answer carries the objects of those that differ. */
  record BucketDigests(long[] digests, long contactAge) implements PeerMessage {}

  /** Objects; when {@code forward} is set the receiver passes on those that were new to it. */
  record Objects(List<StoredObject> objects, long contactAge, boolean forward)
      implements PeerMessage {}

  /** Asks the receiver to read the platform in the place of the sender, which cannot reach it. */
  record ReadInstead() implements PeerMessage {}

  /** Asks which version of an object is in force. */
  record VersionQuery(ObjectKey key) implements PeerMessage {}

  /** The revision of an object that is in force, {@link StoreRevision#NONE} if there is none. */
  record VersionAnswer(StoreRevision revision) implements PeerMessage {}

  /** Entries for the ledger shard that the receiver owns. */
  record Submit(String shard, List<LedgerEntry> entries) implements PeerMessage {}

  /** The confirmed results, in the order of the entries. */
  record Submitted(List<LedgerResult> results) implements PeerMessage {}

  /** Asks the receiver to keep a bill until the ledger has it. */
  record HoldBill(Bill bill) implements PeerMessage {}

  /** Says that the bills are in the ledger or void. */
  record DropBills(List<String> ids) implements PeerMessage {}

  /** Says that an upstream is leaving. */
  record UpstreamLeaving(String upstream) implements PeerMessage {}

  /** The evidence of one instance against a candidate version, a logarithm. */
  record GuardEvidence(String candidate, double logEvidence) implements PeerMessage {}

  /**
   * What one instance tells the collector of its zone: its account, the sessions that it has seen
   * since the last message, up to which number it read the collector's sessions, the crashes that
   * the collector has not been told of, and up to which revision it read the collector's.
   */
  record InstanceAccount(
      Account account,
      List<SeenSession> seen,
      long sessionsUpTo,
      CrashNews crashes,
      long crashesUpTo)
      implements PeerMessage {
    /** Takes a missing list for an empty one. */
    public InstanceAccount {
      seen = seen == null ? List.of() : seen;
      crashes = crashes == null ? CrashNews.NONE : crashes;
    }
  }

  /**
   * What a collector answers: the account of all others, the sessions after that number, whether it
   * knows all that count, as it does not shortly after its start, and the crashes after that
   * revision.
   */
  record FleetAccount(
      Account others,
      List<SeenSession> seen,
      long sessionsUpTo,
      boolean informed,
      CrashNews crashes)
      implements PeerMessage {
    /** Takes a missing list for an empty one. */
    public FleetAccount {
      seen = seen == null ? List.of() : seen;
      crashes = crashes == null ? CrashNews.NONE : crashes;
    }
  }

  /** What the collector of a zone tells those of the others of its zone. */
  record ZoneAccount(String zone, Account account, List<SeenSession> seen, CrashNews crashes)
      implements PeerMessage {
    /** Takes a missing list for an empty one. */
    public ZoneAccount {
      seen = seen == null ? List.of() : seen;
      crashes = crashes == null ? CrashNews.NONE : crashes;
    }
  }

  /** What a collector tells all of its zone at once of requests that upstreams ended under. */
  record Crashes(CrashNews news) implements PeerMessage {}

  /** A message of a type that this version does not know, from a later or an earlier one. */
  record Unknown() implements PeerMessage {}

  /** An answer without content. */
  record Done() implements PeerMessage {}

  /** An answer to a message that could not be served. */
  record Failed(String reason) implements PeerMessage {}
}
