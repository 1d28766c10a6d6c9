// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a conditional write without effect because the revision differs. Immutable. */
public final class ConflictException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final org.oatlug.platform.StoreRevision expected;
  private final transient java.util.Optional<org.oatlug.platform.StoredObject> current;

  /**
   * Creates the exception.
   *
   * @param key the object
   * @param expected the revision that the write expected
   * @param current the current object, empty if there is none
   */
  public ConflictException(
      org.oatlug.api.ObjectKey key,
      org.oatlug.platform.StoreRevision expected,
      java.util.Optional<org.oatlug.platform.StoredObject> current) {
    super(
        ErrorText.format(
            ErrorText.get().conflict,
            key,
            expected,
            current
                .map(org.oatlug.platform.StoredObject::revision)
                .orElse(org.oatlug.platform.StoreRevision.NONE)));
    this.expected = expected;
    this.current = current;
  }

  /** Returns the revision that the write expected. */
  public org.oatlug.platform.StoreRevision expected() {
    return expected;
  }

  /** Returns the current object, empty if there is none. */
  public java.util.Optional<org.oatlug.platform.StoredObject> current() {
    return current;
  }
}
