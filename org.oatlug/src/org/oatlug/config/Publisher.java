// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.UUID;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.VersionState;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Publishes configuration objects.
 *
 * <p>Invariants: a write is conditional on the revision that was read, so concurrent writes by
 * operators result in a conflict instead of a lost update. A withdrawn or deleted version is never
 * restored under its name. After a write without a response, the object is read back and compared
 * by its publish id before a result is returned. Immutable, as thread-safe as its platform.
 */
public final class Publisher {
  private final Platform platform;

  private Publisher(Platform platform) {
    this.platform = platform;
  }

  /** Returns a publisher that writes to {@code platform}. */
  public static Publisher to(Platform platform) {
    return new Publisher(platform);
  }

  /**
   * The outcome of a publish operation.
   *
   * @param result the kind of change
   * @param revision the current revision of the object
   */
  public record Published(Result result, StoreRevision revision) {
    /** The kind of change that a publish operation made. */
    public enum Result {
      CREATED,
      UPDATED,
      UNCHANGED
    }
  }

  /**
   * Publishes content on top of the current revision.
   *
   * <p>Fails with {@link ConfigurationInvalidException} if the content is invalid, with {@link
   * ConflictException} if another write intervened, and with {@link PlatformUnavailableException}
   * if it is not known whether the write took effect.
   */
  public Uni<Published> publish(ObjectKey key, JsonNode content) {
    return platform
        .get(key)
        .onItem()
        .transformToUni(current -> publishIfCurrent(key, current, content));
  }

  /** Publishes content on top of the revision that the caller read. */
  public Uni<Published> publishIfCurrent(
      ObjectKey key, Optional<StoredObject> current, JsonNode content) {
    try {
      Kinds.read(key, content);
      checkTransition(key, current, content);
    } catch (ConfigurationInvalidException e) {
      return Uni.createFrom().failure(e);
    }
    if (current.map(old -> sameContent(old.value(), content)).orElse(false)) {
      StoreRevision revision = current.get().revision();
      return Uni.createFrom().item(new Published(Published.Result.UNCHANGED, revision));
    }
    return write(key, current, content);
  }

  private Uni<Published> write(ObjectKey key, Optional<StoredObject> current, JsonNode content) {
    String publishId = UUID.randomUUID().toString();
    ObjectNode marked = content.deepCopy();
    marked.put(Kinds.PUBLISH_ID, publishId);
    StoreRevision expected = current.map(StoredObject::revision).orElse(StoreRevision.NONE);
    Published.Result result =
        current.isPresent() ? Published.Result.UPDATED : Published.Result.CREATED;
    return platform
        .put(key, expected, marked)
        .onFailure(PlatformUnavailableException.class)
        .recoverWithUni(failure -> readBack(key, expected, publishId, failure))
        .map(revision -> new Published(result, revision));
  }

  /** Determines whether a write without a response took effect. */
  private Uni<StoreRevision> readBack(
      ObjectKey key, StoreRevision expected, String publishId, Throwable failure) {
    return platform
        .get(key)
        .onItem()
        .transformToUni(
            stored -> {
              String storedId =
                  stored.map(object -> object.value().path(Kinds.PUBLISH_ID).asText()).orElse("");
              if (storedId.equals(publishId)) {
                return Uni.createFrom().item(stored.get().revision());
              }
              StoreRevision storedRevision =
                  stored.map(StoredObject::revision).orElse(StoreRevision.NONE);
              if (!storedRevision.equals(expected)) {
                return Uni.createFrom().failure(new ConflictException(key, expected, stored));
              }
              return Uni.createFrom().failure(failure);
            });
  }

  private static boolean sameContent(JsonNode current, JsonNode content) {
    return Kinds.withoutPublishId(current).equals(Kinds.withoutPublishId(content));
  }

  private static void checkTransition(
      ObjectKey key, Optional<StoredObject> current, JsonNode content)
      throws ConfigurationInvalidException {
    if (!key.kind().equals(Kinds.VERSION) || current.isEmpty()) {
      return;
    }
    JsonNode oldContent = current.get().value();
    if (Kinds.isTombstone(oldContent) && !Kinds.isTombstone(content)) {
      throw new ConfigurationInvalidException(
          key.toString(), "a deleted version cannot be restored");
    }
    String withdrawn = VersionState.WITHDRAWN.name().toLowerCase(java.util.Locale.ROOT);
    boolean wasWithdrawn = oldContent.path("state").asText().equals(withdrawn);
    boolean remainsWithdrawnOrDeleted =
        content.path("state").asText().equals(withdrawn) || Kinds.isTombstone(content);
    if (wasWithdrawn && !remainsWithdrawnOrDeleted) {
      throw new ConfigurationInvalidException(
          key + ".state", "a withdrawn version cannot be restored");
    }
  }
}
