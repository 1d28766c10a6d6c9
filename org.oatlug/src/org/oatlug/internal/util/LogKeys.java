// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.flogger.MetadataKey;

/** The keys of the fields in log lines. Immutable, thread-safe. */
public final class LogKeys {
  /** The id of a caller's request. */
  public static final MetadataKey<String> REQUEST_ID =
      MetadataKey.single("requestId", String.class);

  private LogKeys() {}
}
