package org.ternhinge;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Enforces the permitted dependencies between packages; {@code docs/architecture.md} explains them.
 */
class PackageRulesTest {
  private static final String ROOT = "org.ternhinge.";

  /** Each package with all project packages on which it may depend, the lowest layer first. */
  private static final String RULES =
      """
      model:
      http: model
      limit: model
      peer: http model
      wire: model
      metrics: model
      config: model wire
      cloud: http limit model wire
      store: config http limit model wire
      worker: http model wire
      ledger: config limit model store wire
      election: config ledger limit model store wire
      schedule: config model wire
      zone: config model schedule wire
      zone.report: model zone
      api: config ledger model wire
      term: cloud config ledger metrics model store wire worker
      machine: cloud config ledger model schedule term wire
      attempt: config http ledger machine metrics model term wire worker
      scaling: attempt cloud config ledger limit machine model schedule store term wire worker
      heartbeat: attempt config ledger machine model scaling term wire
      failover: attempt config ledger limit machine model schedule store term wire zone
      round: attempt config failover ledger machine metrics model scaling schedule term wire
      leadership: attempt config election failover heartbeat ledger limit machine metrics model \
      round scaling store term wire
      request: api cloud config http leadership ledger limit machine metrics model store wire
      controller: config election http leadership ledger metrics model request store term
      cli: cloud config controller election http limit metrics model peer request store term wire \
      worker zone.report
      """;

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.ternhinge");

  /** Returns the packages on which each package may depend. */
  static Map<String, List<String>> rules() {
    Map<String, List<String>> rules = new TreeMap<>();
    RULES
        .lines()
        .forEach(
            line -> {
              String[] parts = line.split(":", 2);
              rules.put(parts[0], Arrays.asList(parts[1].strip().split(" +")));
            });
    return rules;
  }

  static Set<String> packages() {
    return rules().keySet();
  }

  @Test
  void everyPackageHasRule() {
    Set<String> present =
        CLASSES.stream()
            .map(JavaClass::getPackageName)
            .map(name -> name.substring(ROOT.length()))
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(present, packages());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("packages")
  void packageDependsOnlyOnPermittedPackages(String name) {
    DescribedPredicate<JavaClass> allowed = resideOutsideOfPackage("org.ternhinge..");
    allowed = allowed.or(resideInAPackage(ROOT + name));
    for (String other : rules().get(name)) {
      if (!other.isEmpty()) {
        allowed = allowed.or(resideInAPackage(ROOT + other));
      }
    }
    classes()
        .that(resideInAPackage(ROOT + name))
        .should()
        .onlyDependOnClassesThat(allowed)
        .check(CLASSES);
  }

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching("org.ternhinge.(**)").should().beFreeOfCycles().check(CLASSES);
  }

  /** The planner is free of side effects: it reads no clock and does no I/O, logging or waiting. */
  @Test
  void planningHasNoSideEffects() {
    DescribedPredicate<JavaClass> sideEffects =
        resideInAPackage("org.slf4j..")
            .or(resideInAPackage("java.util.concurrent.."))
            .or(resideInAPackage("io.netty.."))
            .or(resideInAPackage("java.io.."));
    classes()
        .that(resideInAPackage(ROOT + "schedule"))
        .should()
        .onlyDependOnClassesThat(DescribedPredicate.not(sideEffects))
        .check(CLASSES);
  }
}
