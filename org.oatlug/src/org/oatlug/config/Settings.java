// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oatlug.platform.Platform;

/**
 * The settings of one entry instance, as read from its file. Immutable.
 *
 * @param name the name of the instance
 * @param zone its availability zone
 * @param rack its rack, a failure domain
 * @param callers the listener for callers
 * @param operators the listen address for operators
 * @param peers the settings of the peer protocol
 * @param platform the address of the platform's object API
 * @param rating the address of the rating service, empty for none
 * @param sessions the keys that sign sessions
 * @param ledger the settings of the ledger
 * @param limits the limits on requests
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
   * A network address.
   *
   * @param host the IP address
   * @param port the port
   */
  public record Address(String host, int port) {
    /**
     * Returns the text that names a seed, in the form that records have by default. Written out,
     * because linking the generated method costs milliseconds of a start.
     */
    @Override
    public String toString() {
      return "Address[host=" + host + ", port=" + port + "]";
    }
  }

  /**
   * The TLS files, in PEM format.
   *
   * @param certificate the certificate
   * @param key its private key
   * @param trust the certificates that are trusted
   */
  public record Tls(String certificate, String key, String trust) {}

  /**
   * The listener for callers.
   *
   * @param host the IP address
   * @param port the port
   * @param tls the TLS files, empty for plain text
   */
  public record Listener(String host, int port, Optional<Tls> tls) {}

  /**
   * The settings of the peer protocol.
   *
   * @param host the IP address
   * @param port the port
   * @param key the shared key
   * @param seeds initial instances, used when the platform is unavailable
   * @param advertised the address for other instances, if it differs from the listen address
   * @param tls the TLS files, empty for plain text
   */
  public record Peers(
      String host,
      int port,
      String key,
      List<Platform.ListedInstance> seeds,
      Optional<Address> advertised,
      Optional<Tls> tls) {
    /** Returns the address that other instances connect to. */
    public Address advertisedAddress() {
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
   * @param signing the id of the signing key
   * @param keys the keys by id
   */
  public record Sessions(String signing, Map<String, String> keys) {
    @Override
    public String toString() {
      return "Sessions[" + signing + "]";
    }
  }

  /**
   * The settings of the ledger.
   *
   * @param shards the number of shards, which must be equal on all instances
   * @param writesPerSecond the maximum rate of platform writes of all shards together
   * @param retentionHours the retention time of claims, in hours
   */
  public record Ledger(int shards, int writesPerSecond, int retentionHours) {}

  /**
   * The limits on requests.
   *
   * @param bodyBytes the maximum length of a body, in bytes
   * @param openRequests the maximum number of concurrent requests
   * @param firstByteMillis the timeout for the first byte of a response
   * @param betweenBytesMillis the idle timeout within a response
   * @param freshnessMillis the maximum age of the configuration for which candidates receive new
   *     sessions
   * @param drainMillis the time for which requests are still accepted after a shutdown begins
   */
  public record Limits(
      int bodyBytes,
      int openRequests,
      long firstByteMillis,
      long betweenBytesMillis,
      long freshnessMillis,
      long drainMillis) {}
}
