"""Conversion between attrs messages and Cap'n Proto structs.

A message class is a frozen attrs class; its struct has the same fields in
camel case. Field types may be ``int``, ``str``, ``bool``, ``float``,
``bytes``, another message class, ``tuple[T, ...]`` of these, or one of them
``| None`` where an unset pointer field stands for ``None``.
"""

import functools
import types
import typing

import attrs
import capnp

_WRITE_ERRORS = (
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
    capnp.KjException,
)


class EncodeError(ValueError):
    """A message has a value that its struct cannot hold.

    ``field`` is the path of the field, such as ``servers[2].slots``.
    """

    def __init__(self, field, reason):
        super().__init__(f'{field}: {reason}')
        self.field = field
        self.reason = reason

    @classmethod
    def inside(cls, parent, exc):
        """Return the error for ``exc``, raised below the field ``parent``."""
        if not isinstance(exc, EncodeError):
            # The further lines of a KjException are a stack trace.
            reason = str(exc).partition('\n')[0]
            return cls(parent, f'{type(exc).__name__}: {reason}')
        dot = '' if exc.field.startswith('[') else '.'
        return cls(f'{parent}{dot}{exc.field}', exc.reason)


class UnknownMessageError(ValueError):
    """No message class is registered for the kind of a frame."""


def _camel_case(name):
    first, *others = name.split('_')
    return first + ''.join(part.capitalize() for part in others)


@functools.cache
def _writer(cls):
    """Return a function that copies a message into a struct builder."""
    names = [(item.name, _camel_case(item.name)) for item in attrs.fields(cls)]

    def write(message, builder):
        for name, wire_name in names:
            value = getattr(message, name)
            if value is None:
                continue
            try:
                if isinstance(value, tuple):
                    _write_list(builder.init(wire_name, len(value)), value)
                elif attrs.has(type(value)):
                    _writer(type(value))(value, builder.init(wire_name))
                else:
                    setattr(builder, wire_name, value)
            except _WRITE_ERRORS as exc:
                raise EncodeError.inside(name, exc) from exc

    return write


def _write_list(builder, values):
    for index, value in enumerate(values):
        try:
            if attrs.has(type(value)):
                _writer(type(value))(value, builder[index])
            else:
                builder[index] = value
        except _WRITE_ERRORS as exc:
            raise EncodeError.inside(f'[{index}]', exc) from exc


def _split_optional(annotation):
    if isinstance(annotation, types.UnionType):
        members = [arm for arm in annotation.__args__ if arm is not type(None)]
        return members[0], True
    return annotation, False


def _field_reader(name, annotation):
    wire_name = _camel_case(name)
    inner, optional = _split_optional(annotation)
    read_value = _value_reader(inner)

    def read(reader):
        if optional and not reader._has(wire_name):
            return None
        return read_value(getattr(reader, wire_name))

    return read


def _value_reader(annotation):
    if typing.get_origin(annotation) is tuple:
        read_item = _value_reader(typing.get_args(annotation)[0])
        return lambda values: tuple(read_item(value) for value in values)
    if attrs.has(annotation):
        return _class_reader(annotation)
    return annotation


def _class_reader(cls):
    hints = typing.get_type_hints(cls)
    readers = {
        item.name: _field_reader(item.name, hints[item.name])
        for item in attrs.fields(cls)
    }

    def read(reader):
        return cls(**{name: get(reader) for name, get in readers.items()})

    return read


class Codec:
    """Encodes and decodes messages of registered classes."""

    def __init__(self):
        self._by_class = {}
        self._by_kind = {}

    def register(self, cls, struct, kind=None):
        """Register ``cls`` with its Cap'n Proto ``struct``.

        ``kind`` is the name of the class on the wire, by default that of the
        Python class.
        """
        kind = kind or cls.__name__
        self._by_class[cls] = (kind, struct)
        self._by_kind[kind] = (struct, _class_reader(cls))

    def register_schema(self, schema, classes, *, kinds=None):
        """Register classes with the structs of the same name in ``schema``.

        ``kinds`` maps the names of further structs to classes with other
        names. The name of the struct is the kind on the wire.
        """
        named = {cls.__name__: cls for cls in classes}
        for kind, cls in {**named, **(kinds or {})}.items():
            self.register(cls, getattr(schema, kind), kind)

    def kind_of(self, message):
        """Return the name of the message class on the wire."""
        return self._by_class[type(message)][0]

    def encode(self, message):
        """Return ``(kind, bytes)`` for ``message``.

        :raises EncodeError: if the struct cannot hold a value.
        """
        kind, struct = self._by_class[type(message)]
        builder = struct.new_message()
        _writer(type(message))(message, builder)
        return kind, builder.to_bytes()

    def decode(self, kind, data):
        """Return the message of ``kind`` that is encoded in ``data``.

        :raises UnknownMessageError: if no class is registered for ``kind``.
        """
        try:
            struct, read = self._by_kind[kind]
        except KeyError:
            raise UnknownMessageError(
                f'no message class for kind {kind!r}; upgrade this process'
            ) from None
        with struct.from_bytes(data) as reader:
            return read(reader)


codec = Codec()
