// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.flogger.MetadataKey;

/** Keys of the fields of log lines. Immutable, thread-safe. */
public final class LogKeys {
  /** Id of a caller's request. */
  public static final MetadataKey<String> REQUEST_ID =
      MetadataKey.single("requestId", String.class);

  private LogKeys() {}
}
