package org.ternhinge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the types and packages named in code spans of {@code docs/architecture.md} exist in
 * the program, and that the members named together with a type on the other pages exist.
 */
class ArchitecturePageTest {
  private static final String ROOT = "org.ternhinge";
  private static final Path PAGE = Path.of("docs", "architecture.md");

  private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
  private static final Pattern NAME = Pattern.compile("[\\w.-]*\\w");

  /** A type, optionally followed by a nested type or a member. */
  private static final Pattern TYPE = Pattern.compile("[A-Z]\\w*[a-z]\\w*(\\.\\w+)*");

  /** A row of the package table: the package, its contents and its permitted dependencies. */
  private static final Pattern PACKAGE_ROW =
      Pattern.compile("\\| `org\\.ternhinge\\.([a-z.]+)` \\|[^|\n]*\\|([^|\n]*)\\|");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages(ROOT);

  @Test
  void namesOnArchitecturePageExist() throws IOException {
    assertEquals(List.of(), unknownNames(Files.readString(PAGE)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"design.md", "design-zone-failover.md", "findings.md", "operations.md"})
  void membersOnOtherPagesExist(String page) throws IOException {
    List<String> unknownMembers =
        unknownNames(Files.readString(Path.of("docs", page))).stream()
            .filter(name -> name.contains("."))
            .filter(name -> exists(name.substring(0, name.indexOf('.'))))
            .toList();
    assertEquals(List.of(), unknownMembers);
  }

  @Test
  void everyPackageIsOnArchitecturePage() throws IOException {
    String page = Files.readString(PAGE);
    List<String> missing =
        CLASSES.stream()
            .map(JavaClass::getPackageName)
            .distinct()
            .filter(name -> !page.contains("`" + name + "`"))
            .toList();
    assertEquals(List.of(), missing);
  }

  @Test
  void rulesOnArchitecturePageMatchEnforcedRules() throws IOException {
    Map<String, List<String>> rules = new TreeMap<>();
    PACKAGE_ROW
        .matcher(Files.readString(PAGE))
        .results()
        .forEach(row -> rules.put(row.group(1), List.of(row.group(2).strip().split(" +"))));
    assertEquals(PackageRulesTest.rules(), rules);
  }

  @ParameterizedTest
  @CsvSource({
    "a type, `LedgerKeeper`, LedgerKeeper",
    "a nested type, `Outcome.Perhaps`, Outcome.Perhaps",
    "a method, `Ledger.admitAll`, Ledger.admitAll",
    "a method of a nested type, `Ledger.Placement.row`, Ledger.Placement.row",
    "a method with parentheses, `Ledger.admitAll()`, Ledger.admitAll",
    "one of several names, `Ledger LedgerKeeper`, LedgerKeeper",
    "a package, `org.ternhinge.nowhere`, org.ternhinge.nowhere",
  })
  void unknownNameIsReported(String kind, String text, String unknown) {
    assertEquals(List.of(unknown), unknownNames("The " + text + " does it."), kind);
  }

  @ParameterizedTest
  @CsvSource({
    "`Ledger`",
    "`Outcome.Applied`",
    "`Ledger.open()`",
    "`Keys.TERM`",
    "`Ledger.Placement.index`",
    "`org.ternhinge.ledger`",
    "`org.ternhinge.zone.report`",
    "LedgerKeeper without backticks",
    "`GET /healthz`",
    "`docs/design.md`",
  })
  void knownNameAndOtherTextAreNotReported(String text) {
    assertEquals(List.of(), unknownNames(text));
  }

  /** Returns the names in the page's code spans that match no class or package of the program. */
  private static List<String> unknownNames(String page) {
    return CODE_SPAN
        .matcher(page)
        .results()
        .map(span -> span.group(1))
        .flatMap(code -> NAME.matcher(code).results())
        .map(MatchResult::group)
        .filter(name -> !exists(name))
        .toList();
  }

  private static boolean exists(String name) {
    if (name.equals(ROOT) || name.startsWith(ROOT + ".")) {
      return CLASSES.containPackage(name);
    }
    if (!TYPE.matcher(name).matches()) {
      return true;
    }
    String[] path = name.split("\\.", 2);
    return CLASSES.stream()
        .filter(type -> type.getSimpleName().equals(path[0]))
        .anyMatch(type -> path.length == 1 || hasPart(type, path[1]));
  }

  /** Whether a type has a member or nested type with this path of names. */
  private static boolean hasPart(JavaClass type, String name) {
    String[] path = name.split("\\.", 2);
    String nested = type.getName() + "$" + path[0];
    if (path.length == 2) {
      return CLASSES.contain(nested) && hasPart(CLASSES.get(nested), path[1]);
    }
    return type.getMembers().stream().anyMatch(member -> member.getName().equals(name))
        || CLASSES.contain(nested);
  }
}
