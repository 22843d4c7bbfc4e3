package lupinwood.consensus;

import com.google.gson.Gson;
import com.google.gson.TypeAdapter;
import com.google.gson.TypeAdapterFactory;
import com.google.gson.reflect.TypeToken;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The wire names by which records and enum constants are stored and sent, independent of their Java
 * names. A record or an enum without a table is rejected, so that no Java name leaves the process
 * by accident. Filled by one thread, and read-only after that.
 */
final class WireNames implements TypeAdapterFactory {
    private final Map<Class<?>, List<String>> components = new HashMap<>();
    private final Map<Class<?>, Map<?, String>> constants = new HashMap<>();

    /**
     * Sets the wire names of a record's components.
     *
     * @param names the names of all components, in the record's order
     * @throws IllegalArgumentException if the record has another number of components
     */
    WireNames components(Class<? extends Record> type, String... names) {
        int count = type.getRecordComponents().length;
        if (count != names.length) {
            throw new IllegalArgumentException(
                    type + " has " + count + " components, but " + names.length + " wire names");
        }
        components.put(type, List.of(names));
        return this;
    }

    /**
     * Sets the wire names of an enum's constants.
     *
     * @throws IllegalArgumentException if a constant has no name
     */
    <E extends Enum<E>> WireNames constants(Class<E> type, Map<E, String> names) {
        if (names.size() != type.getEnumConstants().length) {
            throw new IllegalArgumentException("a constant of " + type + " has no wire name");
        }
        constants.put(type, Map.copyOf(names));
        return this;
    }

    /**
     * The wire name of a constant.
     *
     * @throws IllegalArgumentException if its type has no table
     */
    <E extends Enum<E>> String nameOf(E constant) {
        return namesOf(constant.getDeclaringClass()).get(constant);
    }

    /** The constant of that wire name; null for a name that only a newer version knows. */
    <E extends Enum<E>> E constantOf(Class<E> type, String name) {
        return namesOf(type).entrySet().stream()
                .filter(entry -> entry.getValue().equals(name))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    @SuppressWarnings("unchecked") // constants() stores keys of that type only
    private <E extends Enum<E>> Map<E, String> namesOf(Class<E> type) {
        return (Map<E, String>) table(constants, type);
    }

    private static <V> V table(Map<Class<?>, V> tables, Class<?> type) {
        V names = tables.get(type);
        if (names == null) {
            throw new IllegalArgumentException(
                    type + " has no table of wire names for storage and messages");
        }
        return names;
    }

    @Override
    @SuppressWarnings("unchecked") // checked by the raw type
    public <T> TypeAdapter<T> create(Gson gson, TypeToken<T> type) {
        Class<? super T> raw = type.getRawType();
        if (raw.isRecord()) {
            return new RecordAdapter<>(gson, (Class<T>) raw, table(components, raw));
        }
        return raw.isEnum() ? new EnumAdapter<>((Map<T, String>) table(constants, raw)) : null;
    }
}
