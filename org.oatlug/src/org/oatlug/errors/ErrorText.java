// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

import java.lang.reflect.Field;
import java.text.MessageFormat;
import java.util.ResourceBundle;

/**
 * Holds the texts of exceptions and refusals, one per field, loaded from {@code
 * ErrorText.properties}.
 *
 * <p>Invariant: every field has a text in the bundle. Immutable after loading, thread-safe.
 */
public final class ErrorText {
  private static final ErrorText INSTANCE = load();

  public String configurationInvalid;
  public String conflict;
  public String malformedFrame;
  public String peerUnavailable;
  public String platformUnavailable;
  public String platformBusy;
  public String earlierEpoch;
  public String policyInvalid;
  public String sessionInvalid;
  public String settingsInvalid;
  public String upstreamFailed;
  public String ledgerUnavailable;
  public String usage;
  public String keyMissing;
  public String keyUnknown;
  public String bodyInvalid;
  public String bodyTooLarge;
  public String bodyIncomplete;
  public String bodyMemoryExhausted;
  public String headerInvalid;
  public String modelUnknown;
  public String routeUnknown;
  public String notAllowed;
  public String versionWithdrawn;
  public String rateLimited;
  public String overloaded;
  public String deadlinePassed;
  public String noUpstream;
  public String zonesEmptied;
  public String upstreamsCold;
  public String upstreamsRest;
  public String upstreamsLimited;
  public String upstreamsBrittle;
  public String upstreamsUnreachable;
  public String crashesUpstreams;
  public String upstreamRefused;
  public String stillRunning;
  public String answerLost;
  public String mayHaveRun;
  public String keyReused;
  public String keyExpired;
  public String witnessFull;
  public String internalError;
  public String notReady;
  public String stopping;
  public String stoppedBeforeAnswer;
  public String configurationUnconfirmed;
  public String requestInvalid;
  public String headerTooLarge;
  public String upstreamBroke;

  private ErrorText() {}

  /** Returns the loaded texts. */
  public static ErrorText get() {
    return INSTANCE;
  }

  /** Returns {@code pattern} with its numbered placeholders replaced. */
  public static String format(String pattern, Object... values) {
    return MessageFormat.format(pattern, values);
  }

  private static ErrorText load() {
    ResourceBundle bundle = ResourceBundle.getBundle("org.oatlug.errors.ErrorText");
    ErrorText text = new ErrorText();
    for (Field field : ErrorText.class.getFields()) {
      try {
        field.set(text, bundle.getString(field.getName()));
      } catch (IllegalAccessException e) {
        throw new IllegalStateException(field.getName(), e);
      }
    }
    return text;
  }
}
