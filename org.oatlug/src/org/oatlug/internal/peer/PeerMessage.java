// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.oatlug.api.ObjectKey;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.crash.CrashUpdate;
import org.oatlug.internal.gather.SessionObservation;
import org.oatlug.internal.gather.StateReport;
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
  @JsonSubTypes.Type(value = PeerMessage.CrashQuery.class, name = "crashQuery"),
  @JsonSubTypes.Type(value = PeerMessage.CrashAnswer.class, name = "crashAnswer"),
  @JsonSubTypes.Type(value = PeerMessage.ReadInstead.class, name = "readInstead"),
  @JsonSubTypes.Type(value = PeerMessage.PathQuery.class, name = "pathQuery"),
  @JsonSubTypes.Type(value = PeerMessage.PathAnswer.class, name = "pathAnswer"),
  @JsonSubTypes.Type(value = PeerMessage.Done.class, name = "done"),
  @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "failed")
})
public sealed interface PeerMessage {

  /** The first message of the accepting side of a connection. */
  record Challenge(String nonce) implements PeerMessage {}

  /** The first message of the calling side, with its proof of the shared key. */
  record Hello(Member member, String nonce, String proof) implements PeerMessage {}

  /** The accepting side's proof of the shared key. */
  record Welcome(Member member, String proof) implements PeerMessage {}

  /** A probe, with member records to merge. */
  record Ping(@JsonProperty("news") List<Member> updates) implements PeerMessage {}

  /** Requests an indirect probe of {@code target} by the receiver. */
  record PingFor(String target, @JsonProperty("news") List<Member> updates)
      implements PeerMessage {}

  /** The response to a probe, with member records to merge. */
  record Ack(@JsonProperty("news") List<Member> updates) implements PeerMessage {}

  /**
   * The digest of all objects, the age of the last platform contact or -1 if there was none,
   * whether the sender has read all kinds, and whether it is in sync with the instances that ran
   * before it.
   */
  record Digest(long digest, long contactAge, boolean readAll, boolean inSync)
      implements PeerMessage {}

  /** The digests of the buckets; the response carries the objects of the buckets that differ. */
  record BucketDigests(long[] digests, long contactAge) implements PeerMessage {}

  /** Objects; if {@code forward} is set, the receiver forwards those that were new to it. */
  record Objects(List<StoredObject> objects, long contactAge, boolean forward)
      implements PeerMessage {}

  /** Requests that the receiver reads the platform for the sender, which cannot reach it. */
  record ReadInstead() implements PeerMessage {}

  /** Requests the current revision of an object. */
  record VersionQuery(ObjectKey key) implements PeerMessage {}

  /** The current revision of an object, {@link StoreRevision#NONE} if there is none. */
  record VersionAnswer(StoreRevision revision) implements PeerMessage {}

  /** Entries for the ledger shard that the receiver owns. */
  record Submit(String shard, List<LedgerEntry> entries) implements PeerMessage {}

  /** The confirmed results, in the order of the entries. */
  record Submitted(List<LedgerResult> results) implements PeerMessage {}

  /** Requests that the receiver retains a bill until it is in the ledger. */
  record HoldBill(Bill bill) implements PeerMessage {}

  /** Notifies that the bills are in the ledger or void. */
  record DropBills(List<String> ids) implements PeerMessage {}

  /** Notifies that an upstream is leaving. */
  record UpstreamLeaving(String upstream) implements PeerMessage {}

  /** The logarithmic evidence of one instance against a candidate version. */
  record GuardEvidence(String candidate, double logEvidence) implements PeerMessage {}

  /**
   * The message of an instance to the collector of its zone: its report, the sessions that the
   * collector has not acknowledged, the sequence number up to which it read the collector's
   * sessions, the crashes that the collector has not acknowledged, and the revision up to which it
   * read the collector's crashes.
   */
  record InstanceAccount(
      StateReport account,
      List<SessionObservation> seen,
      long sessionsUpTo,
      CrashUpdate crashes,
      long crashesUpTo)
      implements PeerMessage {
    /** Replaces a missing list by an empty one. */
    public InstanceAccount {
      seen = seen == null ? List.of() : seen;
      crashes = crashes == null ? CrashUpdate.NONE : crashes;
    }
  }

  /**
   * The response of a collector: the aggregated report of all others, the sessions after the
   * requested sequence number, whether it has all unexpired sessions, which it lacks shortly after
   * its start, and the crashes after the requested revision. Also pushed to the zone, without
   * sessions and crashes, when a version is refuted.
   */
  record FleetAccount(
      StateReport others,
      List<SessionObservation> seen,
      long sessionsUpTo,
      boolean informed,
      CrashUpdate crashes)
      implements PeerMessage {
    /** Replaces a missing list by an empty one. */
    public FleetAccount {
      seen = seen == null ? List.of() : seen;
      crashes = crashes == null ? CrashUpdate.NONE : crashes;
    }
  }

  /** The aggregated report of a zone, sent by its collector to the collectors of the others. */
  record ZoneAccount(
      String zone, StateReport account, List<SessionObservation> seen, CrashUpdate crashes)
      implements PeerMessage {
    /** Replaces a missing list by an empty one. */
    public ZoneAccount {
      seen = seen == null ? List.of() : seen;
      crashes = crashes == null ? CrashUpdate.NONE : crashes;
    }
  }

  /** Crashes that a collector pushes to its zone at once. */
  record Crashes(@JsonProperty("news") CrashUpdate changes) implements PeerMessage {}

  /** Asks an instance for its crash records, at the start of the sender. */
  record CrashQuery() implements PeerMessage {}

  /** The crash records of the sender, and whether it has had time to receive those of others. */
  record CrashAnswer(@JsonProperty("news") CrashUpdate changes, boolean informed)
      implements PeerMessage {}

  /** Asks whether the receiver takes forwarded requests for the service. */
  record PathQuery(String service) implements PeerMessage {}

  /**
   * Whether the sender takes forwarded requests for the service, whether it has lately reached it,
   * and the port for such requests.
   */
  record PathAnswer(boolean available, boolean reached, int port) implements PeerMessage {}

  /** A message of an unknown type, from a later or an earlier version. */
  record Unknown() implements PeerMessage {}

  /** A response without content. */
  record Done() implements PeerMessage {}

  /** The response to a message that could not be handled. */
  record Failed(String reason) implements PeerMessage {}
}
