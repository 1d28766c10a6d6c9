// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/**
 * One attempt to have a request answered, by an upstream or by another instance. Used from one
 * event loop.
 */
interface Attempt {
  /** Returns the name of the upstream or instance. */
  String targetName();

  /** Sends the request. */
  void send();

  /** Returns whether the attempt has not ended. */
  boolean isOpen();

  /** Ends the attempt without a result and closes its connection. */
  void abandon();

  /** Ends the attempt before anything is written, and logs why. */
  void withhold(String reason);

  /** Records that the request ended before an answer of this attempt began. */
  default void recordUnanswered() {}
}
