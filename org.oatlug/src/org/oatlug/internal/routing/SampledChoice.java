// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses among few candidates drawn at random, so that instances that know the same reports do not
 * all choose the same upstream. Stateless, thread-safe.
 */
public final class SampledChoice {
  /**
   * Candidates drawn from the own zone. With two, an upstream that appears best to all instances
   * gets at most twice its share of the requests.
   */
  private static final int OWN_ZONE_DRAWS = 2;

  private static final int OTHER_ZONE_DRAWS = 1;

  /** Candidates drawn among those with most of the prompt cached, usually one or two in all. */
  private static final int CACHED_DRAWS = 2;

  /** The share of the lowest cost by which the second lowest may exceed it and count as equal. */
  private static final double TIE_SHARE = 0.25;

  /** The cost from which on a candidate is used only if there is no other; see PlacementCost. */
  private static final double AVOIDED_MILLIS = 100_000;

  private SampledChoice() {}

  /**
   * An upstream with what the choice depends on.
   *
   * @param value the upstream
   * @param costMillis its cost
   * @param weight its relative probability to be drawn
   * @param slowdown its momentary slowdown, 1 for none
   * @param otherZone whether it is in another availability zone
   * @param cached whether no other has more of the prompt in its prefix cache
   */
  public record Option<T>(
      T value,
      double costMillis,
      double weight,
      double slowdown,
      boolean otherZone,
      boolean cached) {}

  /**
   * A choice.
   *
   * @param value the chosen upstream
   * @param tieBroken whether the momentary slowdown decided
   */
  public record Choice<T>(T value, boolean tieBroken) {}

  /**
   * Returns the option of the lowest cost among those drawn; the momentary slowdown decides between
   * the two best if both or neither are in the own zone and their costs are about equal. Some of
   * those that have most of the prompt cached are always among those drawn.
   */
  public static <T> Optional<Choice<T>> choose(List<Option<T>> options, RandomGenerator random) {
    List<Option<T>> usable = filter(options, option -> option.costMillis() < AVOIDED_MILLIS);
    List<Option<T>> eligible = usable.isEmpty() ? options : usable;
    List<Option<T>> drawn = new ArrayList<>();
    draw(filter(eligible, Option::cached), CACHED_DRAWS, random, drawn);
    List<Option<T>> uncached = filter(eligible, option -> !option.cached());
    draw(filter(uncached, option -> !option.otherZone()), OWN_ZONE_DRAWS, random, drawn);
    draw(filter(uncached, Option::otherZone), OTHER_ZONE_DRAWS, random, drawn);
    drawn.sort(Comparator.comparingDouble(Option::costMillis));
    if (drawn.size() < 2) {
      return drawn.stream().findFirst().map(only -> new Choice<>(only.value(), false));
    }
    Option<T> best = drawn.get(0);
    Option<T> second = drawn.get(1);
    boolean tie =
        second.costMillis() <= best.costMillis() * (1 + TIE_SHARE)
            && second.otherZone() == best.otherZone();
    boolean prefersSecond = tie && second.slowdown() < best.slowdown();
    return Optional.of(new Choice<>((prefersSecond ? second : best).value(), prefersSecond));
  }

  private static <T> List<Option<T>> filter(List<Option<T>> options, Predicate<Option<T>> test) {
    return options.stream().filter(test).toList();
  }

  /** Adds options drawn without replacement. */
  private static <T> void draw(
      List<Option<T>> from, int maximum, RandomGenerator random, List<Option<T>> drawn) {
    List<Option<T>> rest = new ArrayList<>(from);
    for (int draw = 0; draw < maximum && !rest.isEmpty(); draw++) {
      drawn.add(rest.remove(indexByWeight(rest, random)));
    }
  }

  private static <T> int indexByWeight(List<Option<T>> options, RandomGenerator random) {
    double sum = options.stream().mapToDouble(Option::weight).sum();
    double remaining = random.nextDouble() * sum;
    for (int index = 0; index < options.size() - 1; index++) {
      remaining -= options.get(index).weight();
      if (remaining < 0) {
        return index;
      }
    }
    return options.size() - 1;
  }
}
