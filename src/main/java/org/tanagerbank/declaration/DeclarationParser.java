package org.tanagerbank.declaration;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tanagerbank.declaration.NodeReader.Member;
import org.tanagerbank.declaration.ServiceReader.ServiceSection;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.composer.Composer;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.parser.ParserImpl;
import org.yaml.snakeyaml.reader.ReaderException;
import org.yaml.snakeyaml.reader.StreamReader;
import org.yaml.snakeyaml.resolver.Resolver;

/**
 * Parses the YAML text of a declaration and reports all faults with line and column.
 *
 * <p>The result depends only on the text, so all processes accept the same texts. Parsing stops at
 * the first YAML syntax error; all other faults are found in one run. Stateless and thread-safe.
 */
public final class DeclarationParser {
  /**
   * The maximum size of a text in UTF-8 bytes. A text must fit into one link frame, whose limit is
   * 1 MiB.
   */
  public static final int MAX_TEXT_BYTES = 1_000_000;

  private static final String SERVICES = "services";

  private DeclarationParser() {}

  /** Parses a text and returns the declaration, or all faults that were found. */
  public static ParsedDeclaration parse(String text) {
    try {
      if (Utf8.encodedLength(text) > MAX_TEXT_BYTES) {
        return invalid(new DeclarationFault(1, 1, "the text exceeds " + MAX_TEXT_BYTES + " bytes"));
      }
      return readDeclaration(compose(text));
    } catch (MarkedYAMLException e) {
      Mark mark = e.getProblemMark() != null ? e.getProblemMark() : e.getContextMark();
      return invalid(new DeclarationFault(mark.getLine() + 1, mark.getColumn() + 1, describe(e)));
    } catch (ReaderException e) {
      return invalid(faultAt(text, e.getPosition(), "character not allowed in YAML"));
    } catch (YAMLException e) {
      return invalid(new DeclarationFault(1, 1, e.getMessage()));
    } catch (IllegalArgumentException e) {
      // Utf8.encodedLength rejects unpaired surrogates.
      return invalid(new DeclarationFault(1, 1, "the text is not valid Unicode"));
    }
  }

  /**
   * Parses a text that is required to be valid.
   *
   * @throws TanagerException with code {@code INVALID_DECLARATION} and all faults in its message,
   *     if the text is not valid
   */
  public static Declaration parseValid(String text) {
    ParsedDeclaration parsed = parse(text);
    return parsed
        .declaration()
        .orElseThrow(
            () ->
                TanagerException.notRun(
                    ErrorCode.INVALID_DECLARATION,
                    parsed.faults().stream()
                        .map(DeclarationFault::toString)
                        .collect(Collectors.joining("; "))));
  }

  private static Node compose(String text) {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_TEXT_BYTES);
    return new Composer(new ParserImpl(new StreamReader(text), options), new Resolver(), options)
        .getSingleNode();
  }

  private static ParsedDeclaration readDeclaration(Node root) {
    if (root == null) {
      return invalid(
          new DeclarationFault(1, 1, "the text is empty; it needs the field " + SERVICES));
    }
    NodeReader reader = new NodeReader();
    Map<String, Member> fields =
        reader.readFields(root, "the declaration", ImmutableSet.of(SERVICES));
    Member services = fields.get(SERVICES);
    if (services == null && !reader.hasFaults()) {
      reader.addFault(root, "the declaration needs the field " + SERVICES);
    }
    List<ServiceSection> sections = services == null ? List.of() : readSections(reader, services);
    ReferenceChecker.check(reader, sections);
    if (reader.hasFaults()) {
      return new ParsedDeclaration(Optional.empty(), reader.faults());
    }
    ImmutableMap<String, ServiceSpec> specs =
        sections.stream()
            .map(ServiceSection::spec)
            .collect(ImmutableMap.toImmutableMap(ServiceSpec::name, s -> s));
    return new ParsedDeclaration(Optional.of(new Declaration(specs)), ImmutableList.of());
  }

  private static List<ServiceSection> readSections(NodeReader reader, Member services) {
    ServiceReader serviceReader = new ServiceReader(reader);
    return reader.readMapping(services.value(), SERVICES, Schema.MAX_SERVICES).values().stream()
        .map(serviceReader::read)
        .toList();
  }

  private static String describe(MarkedYAMLException e) {
    String context = e.getContext() == null ? "" : e.getContext() + ": ";
    return "YAML syntax: " + context + e.getProblem();
  }

  private static DeclarationFault faultAt(String text, int position, String message) {
    int end = text.offsetByCodePoints(0, Math.min(position, text.codePointCount(0, text.length())));
    String before = text.substring(0, end);
    int line = (int) before.chars().filter(c -> c == '\n').count();
    return new DeclarationFault(line + 1, before.length() - before.lastIndexOf('\n'), message);
  }

  private static ParsedDeclaration invalid(DeclarationFault fault) {
    return new ParsedDeclaration(Optional.empty(), ImmutableList.of(fault));
  }
}
