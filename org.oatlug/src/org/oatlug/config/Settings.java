// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oatlug.platform.Platform;

/**
 * The settings of one entry instance, as its file gives them. Immutable.
 *
 * @param name the name of the instance
 * @param zone its availability zone
 * @param rack its rack, a failure domain
 * @param callers where callers connect
 * @param operators where operators connect
 * @param peers where other instances connect, and the shared key
 * @param platform the platform's object API
 * @param rating the rating service
 * @param sessions the keys that sign sessions
 * @param ledger the ledger
 * @param limits bounds of requests
 */
public record Settings(
    String name,
    String zone,
    String rack,
    Listener callers,
    Address operators,
    Peers peers,
    Address platform,
    Optional<Address> rating,
    Sessions sessions,
    Ledger ledger,
    Limits limits) {

  /**
   * An address.
   *
   * @param host the IP number
   * @param port the port
   */
  public record Address(String host, int port) {}

  /**
   * The files of TLS, in PEM.
   *
   * @param certificate the certificate
   * @param key its private key
   * @param trust the certificates that are trusted
   */
  public record Tls(String certificate, String key, String trust) {}

  /**
   * Where callers connect.
   *
   * @param host the IP number
   * @param port the port
   * @param tls the files of TLS, empty for none
   */
  public record Listener(String host, int port, Optional<Tls> tls) {}

  /**
   * The peers' protocol.
   *
   * @param host the IP number
   * @param port the port
   * @param key the shared key
   * @param seeds instances to begin with when the platform is away
   * @param advertised where others connect, if not where this instance listens
   * @param tls the files of TLS, empty for none
   */
  public record Peers(
      String host,
      int port,
      String key,
      List<Platform.ListedInstance> seeds,
      Optional<Address> advertised,
      Optional<Tls> tls) {
    /** Returns where other instances connect. */
    public Address reachedAt() {
      return advertised.orElse(new Address(host, port));
    }

    @Override
    public String toString() {
      return "Peers[" + host + ":" + port + "]";
    }
  }

  /**
   * The keys that sign sessions.
   *
   * @param signing the id of the key that signs
   * @param keys the keys by id
   */
  public record Sessions(String signing, Map<String, String> keys) {
    @Override
    public String toString() {
      return "Sessions[" + signing + "]";
    }
  }

  /**
   * The ledger.
   *
   * @param shards the number of shards, the same on all instances
   * @param writesPerSecond the platform writes that all shards may use together
   * @param retentionHours how long claims are kept
   */
  public record Ledger(int shards, int writesPerSecond, int retentionHours) {}

  /**
   * Bounds of requests.
   *
   * @param bodyBytes the longest body
   * @param openRequests the most requests at once
   * @param firstByteMillis how long an upstream may take to its first byte
   * @param betweenBytesMillis how long an upstream may pause in an answer
   * @param freshnessMillis how old the configuration may be for candidates to get new sessions
   * @param drainMillis how long a planned stop goes on accepting
   */
  public record Limits(
      int bodyBytes,
      int openRequests,
      long firstByteMillis,
      long betweenBytesMillis,
      long freshnessMillis,
      long drainMillis) {}
}
