package org.ternhinge.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.Priority;
import org.ternhinge.wire.WireException;

/**
 * Reads and validates the block {@code zone_failover}; each error message names the key and the
 * reason.
 */
final class ZoneFailoverReader {
  static final String BLOCK = "zone_failover";
  private static final String TIERS = "tiers";
  private static final double MAX_SECONDS = 3600;
  private static final int MAX_COUNT = 100_000;

  private final HclValues values;

  private ZoneFailoverReader(HclValues values) {
    this.values = values;
  }

  /** Reads the settings from the parsed block. */
  static ZoneFailoverSettings read(Object block) throws SettingsException {
    HclValues values = HclValues.block(BLOCK, block);
    ZoneFailoverSettings settings = new ZoneFailoverReader(values).read();
    values.rejectUnknownNames();
    return settings;
  }

  private ZoneFailoverSettings read() throws SettingsException {
    ZoneFailoverSettings defaults = ZoneFailoverSettings.DEFAULT;
    ZoneFailoverSettings settings =
        new ZoneFailoverSettings(
            detection(defaults.detection()),
            flaps(defaults.flapDamping()),
            release(defaults.release()),
            pace(defaults.pace()),
            tiers());
    checkOrder(settings.detection(), settings.flapDamping());
    return settings;
  }

  private ZoneFailoverSettings.Detection detection(ZoneFailoverSettings.Detection defaults)
      throws SettingsException {
    return new ZoneFailoverSettings.Detection(
        values.positiveNumber("suspect_share", defaults.suspectShare(), 1),
        values.positiveNumber("lost_share", defaults.lostShare(), 1),
        values.positiveNumber("clear_share", defaults.clearShare(), 1),
        values.wholeNumber("min_machines", defaults.minMachines(), 1, MAX_COUNT),
        values.positiveNumber("confirm_s", defaults.confirmS(), MAX_SECONDS),
        values.positiveNumber("settle_s", defaults.settleS(), MAX_SECONDS),
        values.positiveNumber("suspect_max_s", defaults.suspectMaxS(), MAX_SECONDS),
        values.positiveNumber("correlation_s", defaults.correlationS(), MAX_SECONDS));
  }

  private ZoneFailoverSettings.FlapDamping flaps(ZoneFailoverSettings.FlapDamping defaults)
      throws SettingsException {
    return new ZoneFailoverSettings.FlapDamping(
        values.positiveNumber("flap_half_life_s", defaults.halfLifeS(), MAX_SECONDS),
        values.positiveNumber("suppress_at", defaults.suppressAt(), MAX_COUNT),
        values.positiveNumber("reuse_at", defaults.reuseAt(), MAX_COUNT),
        values.positiveNumber("flap_max", defaults.max(), MAX_COUNT));
  }

  private ZoneFailoverSettings.Release release(ZoneFailoverSettings.Release defaults)
      throws SettingsException {
    return new ZoneFailoverSettings.Release(
        values.positiveNumber("tier_hold_s", defaults.tierHoldS(), MAX_SECONDS),
        values.positiveNumber("drain_s", defaults.drainS(), MAX_SECONDS));
  }

  private ZoneFailoverSettings.Pace pace(ZoneFailoverSettings.Pace defaults)
      throws SettingsException {
    return new ZoneFailoverSettings.Pace(
        values.positiveNumber("return_starts", defaults.startsPerMachine(), MAX_COUNT),
        values.positiveNumber("step_s", defaults.stepS(), MAX_SECONDS),
        values.wholeNumber("steps", defaults.steps(), 1, 20));
  }

  // ---- tiers ----------------------------------------------------------------------------------

  private List<ZoneFailoverSettings.Tier> tiers() throws SettingsException {
    Optional<List<Object>> list = values.list(TIERS);
    return list.isPresent() ? tiers(list.get()) : ZoneFailoverSettings.DEFAULT.tiers();
  }

  private List<ZoneFailoverSettings.Tier> tiers(List<Object> listed) throws SettingsException {
    List<ZoneFailoverSettings.Tier> tiers = new ArrayList<>();
    for (int i = 0; i < listed.size(); i++) {
      HclValues tier = HclValues.block(values.key(TIERS) + "[" + i + "]", listed.get(i));
      tiers.add(tier(tier));
      tier.rejectUnknownNames();
    }
    checkReachable(tiers);
    return tiers;
  }

  private static ZoneFailoverSettings.Tier tier(HclValues tier) throws SettingsException {
    return new ZoneFailoverSettings.Tier(
        tier.requiredName("name"),
        tier.names("teams"),
        tier.names("classes"),
        parsedWords(tier, "types", JobKind::fromWireName),
        parsedWords(tier, "priorities", Priority::fromWireName));
  }

  /** Parses a value in the notation of job submissions. */
  private interface WordParser<T> {
    T parse(String text) throws WireException;
  }

  private static <T> Set<T> parsedWords(HclValues tier, String name, WordParser<T> parser)
      throws SettingsException {
    Set<T> parsed = new LinkedHashSet<>();
    for (String text : tier.names(name)) {
      try {
        parsed.add(parser.parse(text));
      } catch (WireException e) {
        throw tier.error(name, "unknown: " + text);
      }
    }
    return parsed;
  }

  /** Checks that no tier is covered by an earlier one, and that every job matches some tier. */
  private void checkReachable(List<ZoneFailoverSettings.Tier> tiers) throws SettingsException {
    for (int i = 0; i < tiers.size(); i++) {
      for (int earlier = 0; earlier < i; earlier++) {
        if (tiers.get(earlier).name().equals(tiers.get(i).name())) {
          throw values.error(TIERS, tiers.get(i).name() + " appears twice");
        }
        if (tiers.get(earlier).covers(tiers.get(i))) {
          throw values.error(
              TIERS,
              tiers.get(i).name()
                  + " can never match: "
                  + tiers.get(earlier).name()
                  + " comes first");
        }
      }
    }
    if (tiers.isEmpty() || !tiers.get(tiers.size() - 1).matchesAll()) {
      throw values.error(TIERS, "the last tier must match all other jobs: it may only have a name");
    }
  }

  private void checkOrder(
      ZoneFailoverSettings.Detection detection, ZoneFailoverSettings.FlapDamping flaps)
      throws SettingsException {
    if (detection.clearShare() >= detection.suspectShare()) {
      throw values.error("clear_share", "has to be below suspect_share");
    }
    if (detection.suspectShare() >= detection.lostShare()) {
      throw values.error("suspect_share", "has to be below lost_share");
    }
    if (flaps.reuseAt() >= flaps.suppressAt()) {
      throw values.error("reuse_at", "has to be below suppress_at");
    }
    if (flaps.suppressAt() >= flaps.max()) {
      throw values.error("suppress_at", "has to be below flap_max");
    }
  }

  // ---- validation against the platform's settings -----------------------------------------------

  /** Checks that the platform's settings define the teams and classes that the tiers name. */
  static void check(ZoneFailoverSettings failover, Settings settings) throws SettingsException {
    if (settings.zones().size() < 2) {
      throw new SettingsException(
          "tuning: " + BLOCK + ": needs a deployment of at least two zones");
    }
    Set<String> classes = new LinkedHashSet<>();
    settings
        .objectives()
        .forEach(
            objective ->
                objective.jobClass().filter(name -> !name.isEmpty()).ifPresent(classes::add));
    for (ZoneFailoverSettings.Tier tier : failover.tiers()) {
      checkKnown(tier, "teams", tier.teams(), settings.teams().keySet());
      if (!classes.isEmpty()) {
        checkKnown(tier, "classes", tier.classes(), classes);
      }
    }
  }

  private static void checkKnown(
      ZoneFailoverSettings.Tier tier, String key, Set<String> named, Set<String> known)
      throws SettingsException {
    for (String name : named) {
      if (!known.contains(name)) {
        throw new SettingsException(
            "tuning: "
                + BLOCK
                + "."
                + TIERS
                + "."
                + tier.name()
                + "."
                + key
                + ": unknown: "
                + name);
      }
    }
  }
}
